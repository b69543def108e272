/** Result of a pure state transition: the next state and the effects that the caller carries out in order. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** A pure state transition: maps a state, an event and the current time in milliseconds to the next state and effects. */
export type StepFunction<State, Event, Effect> = (state: State, event: Event, now: number) => Step<State, Effect>;
