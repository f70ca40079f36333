package medlarroute.dispatch

import kotlin.time.TimeSource

/** Milliseconds since the clock was created, measured by [source]. Times of different clocks can't be compared. */
public class ElapsedClock(source: TimeSource.WithComparableMarks) {
    private val origin = source.markNow()

    public fun nowMs(): Long = origin.elapsedNow().inWholeMilliseconds
}
