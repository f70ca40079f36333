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
        val violations = LinkedHashMap<Long, String>()
        for (seed in FIRST_SEED until FIRST_SEED + SEEDS) {
            EntryConcurrentRunScenario(Random(seed)).violationOrNull()?.let { violations[seed] = it }
        }
        val (seed, trace) = violations.entries.firstOrNull() ?: return
        throw AssertionError("${violations.size} of $SEEDS seeds fail: ${violations.keys}\nseed $seed: $trace")
    }

    private companion object {
        val FIRST_SEED: Long = java.lang.Long.getLong("entry.runs.first", 0)
        val SEEDS: Int = Integer.getInteger("entry.runs.seeds", 300)
    }
}
