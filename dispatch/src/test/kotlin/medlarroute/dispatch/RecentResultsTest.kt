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
    fun `a result is found again by its request`() {
        recent.record(request, JobId("a"), JobResult.Complete)
        recent.find(request, JobId("a")) shouldBe JobResult.Complete
    }

    /** Fails if an instance that starts again is given the result of the job that had the number before. */
    @Test
    fun `a result is not found for another job with the same number`() {
        recent.record(request, JobId("a"), JobResult.Complete)
        recent.find(request, JobId("b")) shouldBe null
    }

    @Test
    fun `results are dropped after some seconds`() {
        recent.record(request, JobId("a"), JobResult.Complete)
        clock += 4.seconds
        recent.record(JobOrigin("i1", 8), JobId("b"), JobResult.Complete)
        recent.find(request, JobId("a")) shouldBe null
    }
}
