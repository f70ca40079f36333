package medlarroute.core

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class EngineTest {
    private val clock = TestTimeSource()
    private val engine = Engine(EngineSettings(), clock, Random(1))
    private val ticket = TicketId(FailureDomainId("north"), InstanceId("e1"), Incarnation(1), 1)

    private fun job(sequence: Long, tasks: Int) =
        Job(
            submission = SubmissionId(ticket, sequence),
            caller = CallerId("router"),
            kind = KindId("check"),
            timeout = 1.seconds,
            tasks = List(tasks) { TaskSpec("payload $it") },
        )

    private fun ready() {
        val backend = BackendServer(BackendId("b1"), FailureDomainId("north"), slots = 8)
        engine.tick(listOf(Input.RulesChanged(Rules(version = 1)), Input.BackendSeen(backend)))
    }

    @Test
    fun `a job whose tasks are all done is answered once with all outputs in order`() {
        ready()
        val starts = engine.tick(listOf(Input.Submit(job(1, 3)))).filterIsInstance<Effect.Start>()
        val replies = starts.reversed().map { Input.TaskDone(it.task, "out ${it.task.index}", 5.milliseconds) }
        val answers = engine.tick(replies + replies).filterIsInstance<Effect.Answered>()
        answers.single().answer shouldBe Answer.Complete(listOf("out 0", "out 1", "out 2"))
        engine.openJobs shouldBe 0
    }

    @Test
    fun `a lost task fails the job and is not started again`() {
        ready()
        val start = engine.tick(listOf(Input.Submit(job(1, 1)))).filterIsInstance<Effect.Start>().single()
        val effects = engine.tick(listOf(Input.TaskLost(start.task, "connection closed")))
        effects.filterIsInstance<Effect.Start>().shouldBeEmpty()
        val answer = effects.filterIsInstance<Effect.Answered>().single().answer
        answer.shouldBeInstanceOf<Answer.Failed>().code shouldBe FailureCode.TASK_LOST
    }

    @Test
    fun `a job whose only start was proved not to have taken place is refused as not run at its deadline`() {
        ready()
        val start = engine.tick(listOf(Input.Submit(job(1, 1)))).filterIsInstance<Effect.Start>().single()
        engine.tick(listOf(Input.BackendLeaving(start.backend)))
        engine.tick(listOf(Input.TaskNotStarted(start.task, NotStartedReason.LEAVING)))
        clock += 2.seconds
        val answer = engine.tick(emptyList()).filterIsInstance<Effect.Answered>().single().answer
        answer.shouldBeInstanceOf<Answer.Refused>()
    }
}
