package medlarroute.dispatch

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** As the backend servers see it, no two runs of a task are active at the same time, whatever entries and owners do. */
class EntryConcurrentRunPropertyTest {
    /** Guards against a start that relies on an outdated report, or on a message that was lost or is late. */
    @Test
    fun `no sequence of faults between entries and owners runs a task twice at the same time`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = SEED, iterations = ITERATIONS), Arb.long(0L..1_000_000L)) { seed ->
            EntryConcurrentRunScenario(Random(seed)).check()
        }
    }

    private companion object {
        const val SEED = 33L
        val ITERATIONS: Int = Integer.getInteger("entry.runs.iterations", 200)
    }
}
