package medlarroute.dispatch.reservations

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.BackendClock
import medlarroute.dispatch.BackendInfo
import medlarroute.dispatch.BackendRow
import medlarroute.dispatch.DispatchTables
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobRequest
import medlarroute.dispatch.JobRow
import medlarroute.dispatch.QueueId
import medlarroute.dispatch.QueueSettings
import medlarroute.dispatch.Resources
import medlarroute.dispatch.ServiceId
import medlarroute.dispatch.StepRequest
import medlarroute.dispatch.TaskRow
import org.junit.jupiter.api.Test

/** Each reservation ends within a bounded time, also if the event that ends it is missed. */
class BackendReservationsTest {
    private val events = ArrayList<String>()
    private val reservations = BackendReservations { _, event, fields ->
        val reason = fields.asList().zipWithNext().firstOrNull { it.first == "reason" }?.second
        events += listOfNotNull(event, reason).joinToString(" ")
    }
    private val tables = DispatchTables(historyRetentionMs = 60_000, reservations)
    private val rows = List(2) { backend("b$it") }
    private val job = job("j")
    private val task = job.tasks[0][0]

    private fun backend(id: String): BackendRow {
        val capacity = Resources(16_000, 64_000, 0)
        val info = BackendInfo(id, id, 1, "d1", ServiceId("s"), capacity, emptyList(), 1, draining = false)
        return BackendRow(info, tables.runs.lease(info), BackendClock(maxDrift = 0.02))
    }

    private fun job(id: String): JobRow {
        val steps = listOf(StepRequest(1, Resources(1_000, 64, 0), 50))
        val queue = QueueSettings(QueueId("q"), "h", "/q/", ServiceId("s"), 0, 3, 1.6, 60)
        return JobRow(JobRequest(JobId(id), queue.id, "payload", steps), queue, 0, 1_000)
    }

    /** Guards against capacity that is lost for good with each event that is missed. */
    @Test
    fun `a reservation that no placement pass claims expires`() {
        reservations.reserve(rows[0], task, nowMs = 0)
        reservations.expire(BackendReservations.UNCLAIMED_MS)
        reservations.isReserved(rows[0]) shouldBe true
        reservations.expire(BackendReservations.UNCLAIMED_MS + 1)
        reservations.isReserved(rows[0]) shouldBe false
        events.shouldContainExactly("task-isolated", "reservation-expired")
    }

    /** Guards against a task that loses its turn while it waits for the other runs on its backend server to end. */
    @Test
    fun `a reservation that is claimed by each pass is kept`() {
        reservations.reserve(rows[0], task, nowMs = 0)
        for (nowMs in 0L..5_000L step 400) {
            reservations.claim(task, nowMs) shouldBe rows[0]
            reservations.expire(nowMs)
        }
    }

    /** Guards against starts beside a run that has to be alone, and against a reservation that outlasts the run. */
    @Test
    fun `a reservation is kept during the run and expires after it`() {
        reservations.reserve(rows[0], task, nowMs = 0)
        rows[0].reserve(task)
        reservations.expire(nowMs = 60_000)
        reservations.find(task) shouldBe rows[0]
        rows[0].release(task)
        reservations.expire(nowMs = 60_001)
        reservations.find(task) shouldBe null
    }

    /** Guards against a task that keeps its former backend server when it reserves or starts on another one. */
    @Test
    fun `a task has at most one reservation`() {
        reservations.reserve(rows[0], task, nowMs = 0)
        reservations.reserve(rows[1], task, nowMs = 10)
        reservations.isReserved(rows[0]) shouldBe false
        reservations.onStarted(task, rows[0])
        reservations.size shouldBe 0
        val moved = "reservation-released MOVED"
        val started = "reservation-released STARTED_ELSEWHERE"
        events.shouldContainExactly("task-isolated", moved, "task-isolated", started)
    }

    /** Guards against the release of a backend server on which the task of an ended job still runs. */
    @Test
    fun `the end of a job releases what waits for its tasks and keeps what runs one`() {
        reservations.reserve(rows[0], task, nowMs = 0)
        val running: TaskRow = job("other").tasks[0][0]
        reservations.reserve(rows[1], running, nowMs = 0)
        rows[1].reserve(running)
        reservations.onJobEnded(job)
        reservations.onJobEnded(running.job)
        reservations.isReserved(rows[0]) shouldBe false
        reservations.isReserved(rows[1]) shouldBe true
        tables.release(rows[1], running)
        reservations.size shouldBe 0
    }
}
