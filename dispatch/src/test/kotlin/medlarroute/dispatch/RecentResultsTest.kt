package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class RecentResultsTest {
    private val clock = TestTimeSource()
    private val recent = RecentResults(clock)
    private val request = JobOrigin("i1", 7)

    @Test
    fun `a result is found by its request`() {
        recent.record(request, JobId("a"), JobResult.Complete)
        recent.find(request, JobId("a")) shouldBe JobResult.Complete
    }

    /** Guards against a restarted instance receiving the result of a job that had the same number before. */
    @Test
    fun `a result is not found for another job with the same number`() {
        recent.record(request, JobId("a"), JobResult.Complete)
        recent.find(request, JobId("b")) shouldBe null
    }

    @Test
    fun `results are discarded after a few seconds`() {
        recent.record(request, JobId("a"), JobResult.Complete)
        clock += 4.seconds
        recent.record(JobOrigin("i1", 8), JobId("b"), JobResult.Complete)
        recent.find(request, JobId("a")) shouldBe null
    }
}
