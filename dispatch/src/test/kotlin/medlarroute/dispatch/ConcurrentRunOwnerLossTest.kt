package medlarroute.dispatch

import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Cases of [ConcurrentRunPropertyTest] in which a task has run twice. */
class ConcurrentRunOwnerLossTest {
    /**
     * Guards against a start within a tenth of a second after the owner of another failure domain has been replaced
     * twice, before the new one has told of a run that a late stop has left.
     */
    @Test
    fun `a run that two lost owners have left is known to the other owners in time`() =
        ConcurrentRunScenario(Random(seed = 7_175L)).check()
}
