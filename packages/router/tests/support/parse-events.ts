/** One server-sent event of a response stream. */
export type StreamEvent = {
	readonly name: string;
	readonly id: string;
	readonly data: string;
};

/** Parses the text of a response stream into its events. */
export function parseEvents(text: string): StreamEvent[] {
	return text.split('\n\n').filter(block => block !== '').map(block => {
		const field = (name: string) => block.split('\n').find(line => line.startsWith(`${name}: `))?.slice(name.length + 2) ?? '';
		return {name: field('event'), id: field('id'), data: field('data')};
	});
}

/** Returns the text of a complete stream; text before a restart event is discarded. */
export function assembleText(events: readonly StreamEvent[]): string {
	const restart = events.findLastIndex(event => event.name === 'restart');
	return events.slice(restart + 1)
		.filter(event => event.name === '' && event.data !== '[DONE]')
		.map(event => (JSON.parse(event.data) as {choices: Array<{delta: {content?: string}}>}).choices[0]?.delta.content ?? '')
		.join('');
}
