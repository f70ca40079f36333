package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit

/** A caller sends its job again through another instance, while the first one still waits for it. */
class SecondSubmissionTest {
    private val job = JobRequest(
        JobId("j"),
        QueueId("q"),
        "payload",
        listOf(StepRequest(taskCount = 2, Resources(1_000, 64, 0), estimateMs = 3_000)),
    )

    /** Guards against two owners that run one job, each for one of two waiting instances, over real connections. */
    @Test
    fun `a job that is submitted again joins its runs at the owner of another failure domain`() {
        LoopbackFleet(listOf("d1", "d2"), perDomainOwnersFrom = 1).use { fleet ->
            val first = fleet.add("i1", "d1")
            val second = fleet.add("i2", "d2")
            fleet.awaitReady()
            val results = arrayListOf(first.submit(job))
            fleet.await { fleet.starts(job.id) == 2 }
            Thread.sleep(REPEAT_MS)
            results += second.submit(job)
            Thread.sleep(START_MS)
            fleet.starts(job.id) shouldBe 2
            first.cancel(job.id)
            results.forEach { it.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe JobResult.Cancelled }
        }
    }

    private companion object {
        /** How long a caller waits before it sends its job again. */
        const val REPEAT_MS = 1_300L

        /** Time in which a job starts. */
        const val START_MS = 300L
        const val TIMEOUT_S = 20L
    }
}
