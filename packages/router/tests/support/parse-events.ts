/** One event of a caller's stream. */
export type StreamEvent = {
	readonly name: string;
	readonly id: string;
	readonly data: string;
};

/** Splits the text of a stream into its events. */
export function parseEvents(text: string): StreamEvent[] {
	return text.split('\n\n').filter(block => block !== '').map(block => {
		const field = (name: string) => block.split('\n').find(line => line.startsWith(`${name}: `))?.slice(name.length + 2) ?? '';
		return {name: field('event'), id: field('id'), data: field('data')};
	});
}

/** Returns the answer that a caller holds at the end of a stream: what came before a restart is dropped. */
export function assembleText(events: readonly StreamEvent[]): string {
	const restart = events.findLastIndex(event => event.name === 'restart');
	return events.slice(restart + 1)
		.filter(event => event.name === '' && event.data !== '[DONE]')
		.map(event => (JSON.parse(event.data) as {choices: Array<{delta: {content?: string}}>}).choices[0]?.delta.content ?? '')
		.join('');
}
