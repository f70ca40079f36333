package medlarroute.dispatch

import org.junit.jupiter.api.Test
import kotlin.random.Random

/** As [EntryConcurrentRunPropertyTest], with open connections between instances that go silent without a reset. */
class SilentConnectionPropertyTest {
    /** Guards against a start that relies on a message which was sent on a silent connection, and is lost. */
    @Test
    fun `no task runs twice at the same time when connections go silent`() {
        expectNoConcurrentRuns { EntryConcurrentRunScenario(Random(it), silencesConnections = true) }
    }

    /** Guards against ages that a silent connection and a suspended machine hide together. */
    @Test
    fun `no task runs twice at the same time when connections go silent and machines are suspended`() {
        expectNoConcurrentRuns {
            EntryConcurrentRunScenario(Random(it), suspendsMachines = true, silencesConnections = true)
        }
    }
}
