/** The result of one pure step: the next state and the effects that the caller carries out in order. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** A pure decision: state, event and the present time in milliseconds give the next state and effects. */
export type StepFunction<State, Event, Effect> = (state: State, event: Event, now: number) => Step<State, Effect>;
