package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

/** What instances know of a task converges, whatever the order and the number of their messages. */
class TaskHistoryTest {
    private val task = TaskKey(JobId("j"), 0, 0)
    private val crashes = Arb.bind(
        Arb.element("b0", "b1", "b2"),
        Arb.long(1L..2L),
        Arb.int(1..2),
        Arb.list(Arb.boolean(), 4..4),
    ) { backend, incarnation, run, flags ->
        BackendCrash(backend, incarnation, flags[0], flags[1], flags[2], flags[3], run = run)
    }

    /** Histories as instances have them: with one entry for each process. */
    private val histories = Arb.bind(Arb.int(0..3), Arb.list(crashes, 0..4)) { failures, list -> failures to list }
        .map { (failures, list) -> TaskHistory(task, failures, list).merge(TaskHistory(task)) }

    /** Guards against instances that disagree on the number of crashes after they have exchanged all messages. */
    @Test
    fun `merging does not depend on order or repetition`(): Unit = runBlocking {
        checkAll(histories, histories, histories) { a, b, c ->
            a.merge(b) shouldBe b.merge(a)
            a.merge(b).merge(c) shouldBe a.merge(b.merge(c))
            a.merge(b).merge(b) shouldBe a.merge(b)
        }
    }

    /** Guards against a crash that counts again because an instance reports it after it was refuted. */
    @Test
    fun `a refuted crash stays refuted`() {
        val crash = BackendCrash("b0", 1, wasAlone = true)
        val refuted = TaskHistory(task, crashes = listOf(crash.copy(isRefuted = true)))
        TaskHistory(task, crashes = listOf(crash)).merge(refuted).possibleCrashes shouldBe emptyList()
        refuted.merge(TaskHistory(task, crashes = listOf(crash))).possibleCrashes shouldBe emptyList()
    }

    /** Guards against counting a process twice, of which two instances have seen the loss of different runs. */
    @Test
    fun `losses of several runs with one process are one crash`() {
        val silent = BackendCrash("b0", 1, wasAlone = true, isProven = false, run = 1)
        val history = TaskHistory(task, crashes = listOf(silent, silent.copy(isProven = true, run = 2)))
        history.possibleCrashes.size shouldBe 1
        history.provenCrashes.size shouldBe 1
    }

    /** Guards against memory that grows with the number of crashed jobs, and against forgetting the open ones. */
    @Test
    fun `histories are dropped after their retention unless the job is open`() {
        val table = TaskHistoryTable(retentionMs = 1_000)
        val open = TaskKey(JobId("open"), 0, 0)
        listOf(task, open).forEach { table.merge(TaskHistory(it, failures = 1), nowMs = 0) }
        table.prune(nowMs = 900) { it == open.job }
        table.size shouldBe 2
        table.prune(nowMs = 1_100) { it == open.job }
        table.all.map { it.task } shouldBe listOf(open)
        repeat(5_000) { table.merge(TaskHistory(TaskKey(JobId("$it"), 0, 0), failures = 1), nowMs = 2_000) }
        table.size shouldBe 2_000
    }
}
