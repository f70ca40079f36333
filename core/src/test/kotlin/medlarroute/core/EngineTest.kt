package medlarroute.core

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
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
        engine.tick(listOf(Input.RulesChanged(Rules(version = 1)), Input.BackendServing(backend)))
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

    private fun run(effects: List<Effect>, runTime: Duration) {
        var starts = effects.filterIsInstance<Effect.Start>()
        while (starts.isNotEmpty()) {
            clock += 10.milliseconds
            val replies = starts.map { Input.TaskDone(it.task, "out", runTime, BackendUsage(0, 8)) }
            starts = engine.tick(replies).filterIsInstance<Effect.Start>()
        }
    }

    private fun submit(sequence: Long, kind: String, tasks: Int, timeout: Duration = 60.seconds): List<Effect> {
        val job = job(sequence, tasks).copy(kind = KindId(kind), timeout = timeout)
        return engine.tick(listOf(Input.Submit(job)))
    }

    /** Eight backend servers, all past their slow start, on which kind `check` is known to be short. */
    private fun warmedUp(rules: Rules = Rules(version = 1)) {
        val seen = (1..8).map { Input.BackendServing(BackendServer(BackendId("b$it"), FailureDomainId("north"), 8)) }
        engine.tick(listOf(Input.RulesChanged(rules)) + seen)
        for (sequence in 1L..40L) run(submit(sequence, "check", tasks = 64), 10.milliseconds)
    }

    // Guards against one job of unknown long work that takes all slots for its whole run time.
    @Test
    fun `a kind whose run time is not known leaves slots to short work`() {
        warmedUp()
        submit(100, "new", tasks = 110)
        submit(101, "check", tasks = 1).filterIsInstance<Effect.Start>().size shouldBe 1
    }

    // Guards against refusals of short jobs because of a queue of long work that they do not wait in.
    @Test
    fun `a short job is not refused because long work is queued`() {
        warmedUp(Rules(version = 1, lengthClasses = mapOf(KindId("index") to LengthClass.LONG)))
        run(submit(100, "index", tasks = 20), 5.seconds)
        submit(101, "index", tasks = 110)
        val effects = submit(102, "check", tasks = 1, timeout = 1.seconds)
        effects.filterIsInstance<Effect.Answered>().shouldBeEmpty()
        effects.filterIsInstance<Effect.Start>().size shouldBe 1
    }
}
