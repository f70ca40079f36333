package medlarroute.dispatch

import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.reservations.BackendReservations
import medlarroute.dispatch.slowstart.SlowStartSystem
import org.junit.jupiter.api.Test

/** Predictions for tasks on a rack other than the one that holds their data. */
class FarRackTest {
    /** The backend server of a job whose rack is filled up by an earlier one; null if its task waits. */
    private fun backendOfSecondJob(farRackFactor: Double, estimateMs: Long): String? {
        val sim = SimulatedBackends(settings = DispatchSettings(farRackFactor = farRackFactor))
        sim.configure(SimulatedBackends.queue())
        sim.add("near").let { sim.backends["near"] = sim.Backend(it.info.copy(labels = listOf("r1")), 1.0) }
        sim.add("far")
        sim.takeOver()
        sim.run(untilMs = 100)
        sim.workMs = { estimateMs }
        val step = StepRequest(1, Resources(16_000, 64, 0), estimateMs, preferredRack = "r1")
        sim.submit(sim.job("first", listOf(step.copy(requiredLabel = "r1"))))
        sim.submit(sim.job("second", listOf(step)))
        sim.run(untilMs = 120)
        return sim.backends.values.firstOrNull { backend -> backend.running.keys.any { it.job == JobId("second") } }
            ?.info?.id
    }

    /** Guards against a task that waits although it would end in time on another rack. */
    @Test
    fun `a task is started on another rack where the deployment's factor lets it end in time`() {
        // Of 380 ms, 1.5 times 200 ms leave time, 2 times 200 ms do not.
        backendOfSecondJob(farRackFactor = 1.5, estimateMs = 200) shouldBe "far"
        backendOfSecondJob(farRackFactor = 2.0, estimateMs = 200) shouldBe null
    }

    /** Guards against a start on another rack that makes the job late. */
    @Test
    fun `a task waits for its rack if the deployment's factor makes it late elsewhere`() {
        // Of 220 ms, 2 times 100 ms leave time, 3 times 100 ms do not.
        backendOfSecondJob(farRackFactor = 2.0, estimateMs = 100) shouldBe "far"
        backendOfSecondJob(farRackFactor = 3.0, estimateMs = 100) shouldBe null
    }

    /** Guards against a backend server that counts as slow since its tasks had their data on other racks. */
    @Test
    fun `the time of a run on another rack says nothing about the speed of the backend server`() {
        val settings = DispatchSettings(farRackFactor = 3.0)
        val log = EventLog { _, _, _ -> }
        val tables = DispatchTables(settings.historyRetentionMs, BackendReservations(log))
        val health = BackendHealthSystem(settings, tables, SlowStartSystem(settings, log), log)
        val step = StepRequest(1, Resources(1_000, 64, 0), 50, preferredRack = "r1")
        val job = JobRow(JobRequest(JobId("j"), QueueId("q"), "", listOf(step)), SimulatedBackends.queue(), 0, 3_000)
        job.estimatesMs[0] = 50.0
        val row =
            BackendRow(
                SimulatedBackends().add("far").info,
                BackendLease("far", "d1"),
                BackendClock(settings.clockDrift),
            )
        repeat(20) { health.recordSuccess(row, job.tasks[0][0], runMs = 150.0, nowMs = 0) }
        row.speed shouldBe 1.0
        val predictedMs = tables.runTimes.getValue(QueueId("q")).predictMs(declaredMs = 0)
        predictedMs shouldBeGreaterThan 49.0
        predictedMs shouldBeLessThan 51.0
    }
}
