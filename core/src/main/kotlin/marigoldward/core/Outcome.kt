package marigoldward.core

/**
 * The result of an operation that may fail for a reason the caller has to handle.
 *
 * A violated invariant is not an outcome: it throws and stops the process.
 */
public sealed interface Outcome<out T, out E> {
    /** The operation succeeded with [value]. */
    public data class Success<out T>(val value: T) : Outcome<T, Nothing>

    /** The operation failed for the reason in [error]. */
    public data class Failure<out E>(val error: E) : Outcome<Nothing, E>
}

/** Returns the value of a success, or null for a failure. */
public fun <T, E> Outcome<T, E>.getOrNull(): T? = when (this) {
    is Outcome.Success -> value
    is Outcome.Failure -> null
}

/** Returns the error of a failure, or null for a success. */
public fun <T, E> Outcome<T, E>.errorOrNull(): E? = when (this) {
    is Outcome.Success -> null
    is Outcome.Failure -> error
}

/** Applies [transform] to the value of a success and leaves a failure as it is. */
public inline fun <T, R, E> Outcome<T, E>.map(transform: (T) -> R): Outcome<R, E> = when (this) {
    is Outcome.Success -> Outcome.Success(transform(value))
    is Outcome.Failure -> this
}

/** Returns the outcome of [transform] for the value of a success, and leaves a failure as it is. */
public inline fun <T, R, E> Outcome<T, E>.flatMap(transform: (T) -> Outcome<R, E>): Outcome<R, E> = when (this) {
    is Outcome.Success -> transform(value)
    is Outcome.Failure -> this
}
