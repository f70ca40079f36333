package medlarroute.dispatch

import org.junit.jupiter.api.Test
import kotlin.random.Random

/** As the backend servers see it, no two runs of a task are active at the same time, whatever entries and owners do. */
class EntryConcurrentRunPropertyTest {
    /**
     * Guards against a start that relies on an outdated report, or on a message that was lost or is late. All seeds are
     * tried, so that a failure tells how frequent it is. One seed is run again with `-Dentry.runs.first=SEED
     * -Dentry.runs.seeds=1`.
     */
    @Test
    fun `no sequence of faults between entries and owners runs a task twice at the same time`() {
        expectNoConcurrentRuns { EntryConcurrentRunScenario(Random(it)) }
    }
}

/** Runs the scenarios of all seeds, also if some fail. */
internal fun expectNoConcurrentRuns(defaultFirstSeed: Long = 0, scenario: (Long) -> EntryConcurrentRunScenario) {
    val firstSeed = java.lang.Long.getLong("entry.runs.first", defaultFirstSeed)
    val seeds = Integer.getInteger("entry.runs.seeds", 300)
    val violations = LinkedHashMap<Long, String>()
    for (seed in firstSeed until firstSeed + seeds) {
        scenario(seed).violationOrNull()?.let { violations[seed] = it }
    }
    val (seed, trace) = violations.entries.firstOrNull() ?: return
    throw AssertionError("${violations.size} of $seeds seeds fail: ${violations.keys}\nseed $seed: $trace")
}
