import type * as purify from 'purify-ts';

/** Calls the function for the side of an `Either` and returns its result. */
export function matchEither<Failure, Value, Result>(
	either: purify.Either<Failure, Value>,
	onLeft: (failure: Failure) => Result,
	onRight: (value: Value) => Result,
): Result {
	return either.isLeft() ? onLeft(either.extract()) : onRight(either.extract() as Value);
}
