package medlarroute.dispatch

import kotlin.time.TimeSource

/** Milliseconds since it was created, on [source]. Two of them have different zeros. */
public class ElapsedClock(source: TimeSource.WithComparableMarks) {
    private val origin = source.markNow()

    public fun nowMs(): Long = origin.elapsedNow().inWholeMilliseconds
}
