import type * as purify from 'purify-ts';

/** Applies the function for the side that an `Either` holds. */
export function matchEither<Failure, Value, Result>(
	either: purify.Either<Failure, Value>,
	onLeft: (failure: Failure) => Result,
	onRight: (value: Value) => Result,
): Result {
	return either.isLeft() ? onLeft(either.extract()) : onRight(either.extract() as Value);
}
