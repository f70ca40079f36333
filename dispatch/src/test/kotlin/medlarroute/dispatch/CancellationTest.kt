package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit

/** An acknowledged cancellation holds: no task of the job starts later, and its runs end. */
class CancellationTest {
    private fun job(id: String) = JobRequest(
        JobId(id),
        QueueId("q"),
        "payload",
        listOf(StepRequest(taskCount = 2, Resources(1_000, 64, 0), estimateMs = 3_000)),
    )

    /** Guards against a cancellation that only the owner of the own failure domain hears of. */
    @Test
    fun `a job is cancelled at an instance of another failure domain`() {
        LoopbackFleet(listOf("d1", "d2"), perDomainOwnersFrom = 1).use { fleet ->
            val first = fleet.add("i1", "d1")
            val second = fleet.add("i2", "d2")
            fleet.awaitReady()
            val result = first.submit(job("j"))
            fleet.await { fleet.isRunning(JobId("j")) }
            second.cancel(JobId("j"))
            result.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe JobResult.Cancelled
            fleet.await { !fleet.isRunning(JobId("j")) }
        }
    }

    /** Guards against a cancellation that is lost with a silent owner, whose jobs the next owner starts again. */
    @Test
    fun `a job is cancelled while its owner is frozen`() {
        LoopbackFleet(listOf("d1"), perDomainOwnersFrom = 16).use { fleet ->
            val owner = fleet.add("i1", "d1")
            fleet.awaitReady()
            val others = listOf(fleet.add("i2", "d1"), fleet.add("i3", "d1"))
            fleet.awaitReady()
            val result = others[0].submit(job("j"))
            fleet.await { fleet.isRunning(JobId("j")) }
            owner.freeze(FREEZE_MS)
            Thread.sleep(200)
            others[1].cancel(JobId("j"))
            result.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe JobResult.Cancelled
            val starts = fleet.starts(JobId("j"))
            fleet.await { !fleet.isRunning(JobId("j")) }
            Thread.sleep(FREEZE_MS)
            fleet.starts(JobId("j")) shouldBe starts
            fleet.isRunning(JobId("j")) shouldBe false
        }
    }

    /** Guards against running a cancelled job when a copy of its request arrives late, at any instance. */
    @Test
    fun `a late copy of the request of a cancelled job starts nothing`() {
        LoopbackFleet(listOf("d1"), perDomainOwnersFrom = 16).use { fleet ->
            val instances = listOf("i1", "i2", "i3").map { fleet.add(it, "d1") }
            fleet.awaitReady()
            val result = instances[0].submit(job("j"))
            fleet.await { fleet.isRunning(JobId("j")) }
            instances[1].cancel(JobId("j"))
            result.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe JobResult.Cancelled
            val starts = fleet.starts(JobId("j"))
            // An instance that has just started hears of it from its peers.
            val late = fleet.add("i4", "d1")
            fleet.awaitReady()
            for (instance in instances + late) {
                instance.submit(job("j")).get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe JobResult.Cancelled
            }
            fleet.starts(JobId("j")) shouldBe starts
        }
    }

    private companion object {
        const val TIMEOUT_S = 8L
        const val FREEZE_MS = 3_000L
    }
}
