package medlarroute.server

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.core.Answer
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.CallerId
import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.EngineSettings
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.KindId
import medlarroute.core.Rules
import medlarroute.core.SubmissionId
import medlarroute.core.TaskSpec
import medlarroute.core.TicketId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineLoopTest {
    private val effects = LinkedBlockingQueue<Effect>()
    private val loop = EngineLoop(Engine(EngineSettings()), effects::addAll, inboxCapacity = 2)

    @AfterEach
    fun stop() = loop.stop()

    private fun job(sequence: Long, timeout: Duration = 30.seconds): Job {
        val ticket = TicketId(FailureDomainId("local"), InstanceId("e1"), Incarnation(1), 1)
        return Job(SubmissionId(ticket, sequence), CallerId("router"), KindId("check"), timeout, listOf(TaskSpec("in")))
    }

    private fun ready() {
        loop.offer(Input.RulesChanged(Rules(version = 1)))
        loop.offer(Input.BackendServing(BackendServer(BackendId("b1"), FailureDomainId("local"), slots = 8)))
    }

    private fun nextEffect(): Effect = checkNotNull(effects.poll(10, TimeUnit.SECONDS)) { "the engine did nothing" }

    /** Guards against a reply that is lost because new jobs fill the inbox. */
    @Test
    fun `a full inbox takes no job but still takes replies`() {
        ready()
        loop.submit(job(1)) shouldBe false
        loop.offer(Input.TaskLost(medlarroute.core.TaskId(job(1).submission, 0), "closed"))
        loop.inboxDepth shouldBe 3
        loop.start()
    }

    /** Guards against inputs that are taken in another order than they were offered. */
    @Test
    fun `inputs reach the engine in order and its effects are handed over`() {
        loop.start()
        ready()
        while (!loop.submit(job(1))) Thread.onSpinWait()
        val start = nextEffect().shouldBeInstanceOf<Effect.Start>()
        loop.offer(Input.TaskDone(start.task, "out", 1.milliseconds))
        nextEffect().shouldBeInstanceOf<Effect.Answered>().answer shouldBe Answer.Complete(listOf("out"))
    }

    /** Guards against a job that waits for ever because nothing else happens on the instance. */
    @Test
    fun `the engine is woken at a deadline without any input`() {
        loop.offer(Input.RulesChanged(Rules(version = 1)))
        loop.submit(job(1, timeout = 20.milliseconds)) shouldBe true
        loop.start()
        nextEffect().shouldBeInstanceOf<Effect.Answered>().answer.shouldBeInstanceOf<Answer.Refused>()
    }
}
