package medlarroute.dispatch

import org.junit.jupiter.api.Test
import kotlin.random.Random

/** As [EntryConcurrentRunPropertyTest], on machines whose clocks differ in their rates by up to 2%. */
class ClockRatePropertyTest {
    /** Guards against a wait that ends before a lease which an owner with a slow clock has granted. */
    @Test
    fun `no task runs twice at the same time when clocks differ in their rates`() {
        expectNoConcurrentRuns { EntryConcurrentRunScenario(Random(it), clockRateError = RATE_ERROR) }
    }

    /** Guards against the same on machines that are suspended, too. */
    @Test
    fun `no task runs twice at the same time when clocks differ and machines are suspended`() {
        expectNoConcurrentRuns {
            EntryConcurrentRunScenario(Random(it), suspendsMachines = true, clockRateError = RATE_ERROR)
        }
    }

    private companion object {
        /** Two clocks then differ by up to 2%. */
        const val RATE_ERROR = 0.01
    }
}
