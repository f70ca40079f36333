package medlarroute.dispatch

import org.junit.jupiter.api.Test
import kotlin.random.Random

/** As [EntryConcurrentRunPropertyTest], with clients that leave seconds before their entries notice it. */
class TwoWaitingEntriesPropertyTest {
    /**
     * Guards against two owners that run one job, since two entries wait for it: a client has sent it again, and its
     * first entry has not noticed that the first connection is gone.
     */
    @Test
    fun `no task runs twice at the same time when two entries wait for its job`() {
        expectNoConcurrentRuns { EntryConcurrentRunScenario(Random(it), leavesUnnoticed = true, cutsLinks = false) }
    }
}
