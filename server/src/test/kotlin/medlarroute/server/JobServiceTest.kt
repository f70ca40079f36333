package medlarroute.server

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import medlarroute.core.Answer
import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.RegistrySettings
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class JobServiceTest {
    private class RecordingSink : JobService.JobSink {
        val jobs = ArrayList<Job>()
        val inputs = ArrayList<Input>()
        var accepts = true

        override fun submit(job: Job): Boolean = accepts.also { if (it) synchronized(jobs) { jobs += job } }

        override fun offer(input: Input) {
            inputs += input
        }
    }

    private val settings = RegistrySettings()
    private val home = SubmissionRegistry.Home(FailureDomainId("local"), InstanceId("e1"), Incarnation(7))
    private val registry = SubmissionRegistry(home, settings)
    private val successors = SuccessorRecords(settings)
    private val sink = RecordingSink()
    private val limits = JobLimits(110, 65_536, 10.seconds, 60.seconds)
    private val service = JobService(home, registry, successors, sink, limits)
    private val caller = CallerId("router")
    private val submission = SubmissionId(checkNotNull(registry.openTicket(caller)), 1)
    private val body = """{"kind":"check","tasks":[{"payload":"a"}]}"""

    private fun request(
        operation: Operation = Operation.SUBMIT,
        body: String = this.body,
        submission: SubmissionId = this.submission,
        timeout: Duration = 20.seconds,
    ) = CallerRequest(operation, submission, caller, body.encodeToByteArray(), timeout)

    private fun submit(body: String = this.body, timeout: Duration = 20.seconds) =
        service.handle(request(body = body, timeout = timeout))

    private fun CompletableFuture<CallerReply>.reply() = get(10, TimeUnit.SECONDS)

    private fun CallerReply.text() = body.decodeToString()

    /** Guards against a second job for a duplicate request, and against a duplicate that gets no answer. */
    @Test
    fun `duplicates of a running request get the same answer`() {
        val replies = List(3) { submit() }
        sink.jobs.size shouldBe 1
        service.answered(submission, Answer.Complete(listOf("out")))
        replies.map { it.reply().text() }.toSet() shouldBe
            setOf("""{"status":"complete","submission":"$submission","results":[{"index":0,"output":"out"}]}""")
        submit().reply().httpStatus shouldBe 200
        sink.jobs.size shouldBe 1
    }

    /** Guards against a duplicate that gets no answer because the job ends while the duplicate attaches to it. */
    @Test
    fun `duplicates that arrive while the job ends are all answered`() {
        val threads = Executors.newFixedThreadPool(4)
        repeat(300) { round ->
            val id = SubmissionId(submission.ticket, round + 10L)
            val first = service.handle(request(submission = id))
            val released = CountDownLatch(1)
            val duplicates = List(3) {
                CompletableFuture.supplyAsync({
                    released.await()
                    service.handle(request(submission = id)).reply()
                }, threads)
            }
            released.countDown()
            service.answered(id, Answer.Complete(listOf("out")))
            duplicates.forEach { it.get(20, TimeUnit.SECONDS).httpStatus shouldBe 200 }
            first.reply().httpStatus shouldBe 200
        }
        threads.shutdown()
        service.openSubmissions shouldBe 0
    }

    /** Guards against a "not run" reply to a submission that a delayed duplicate could still start. */
    @Test
    fun `a refused submission never begins later`() {
        sink.accepts = false
        val refused = submit().reply()
        refused.httpStatus shouldBe 503
        refused.text() shouldContain "\"notRun\":true"
        sink.accepts = true
        submit().reply().text() shouldBe refused.text()
        submit(body = "{").reply().httpStatus shouldBe 409
        sink.jobs.shouldBeEmpty()
    }

    /** Guards against reuse of the id of a malformed request, which would make its "not run" reply false. */
    @Test
    fun `a malformed body is refused and recorded`() {
        submit(body = "{").reply().httpStatus shouldBe 400
        submit().reply().httpStatus shouldBe 409
        sink.jobs.shouldBeEmpty()
    }

    /** Guards against a caller that waits forever, and against a false "not run" when the engine does not answer. */
    @Test
    fun `a request is answered at its deadline even if the engine never answers`() {
        val reply = submit(timeout = 1.milliseconds).reply()
        reply.httpStatus shouldBe 504
        reply.text() shouldContain "\"mayHaveRun\":true"
        sink.jobs.single().timeout shouldBe 1.milliseconds
    }

    /** Guards against two different answers to one submission when the engine answers after the deadline. */
    @Test
    fun `an answer given at the deadline is final`() {
        val late = submit(timeout = 1.milliseconds).reply().text()
        late shouldContain "DEADLINE"
        submit().reply().text() shouldBe late
        service.answered(submission, Answer.Complete(listOf("out")))
        submit().reply().text() shouldBe late
        service.handle(request(Operation.STATUS, body = "")).reply().text() shouldBe late
        service.openSubmissions shouldBe 0
    }

    /** Guards against a wrong status. */
    @Test
    fun `the status follows the job`() {
        fun status(of: SubmissionId = submission) =
            service.handle(request(Operation.STATUS, body = "", submission = of)).reply()
        status().text() shouldBe """{"status":"unknown","submission":"$submission"}"""
        submit()
        status().text() shouldBe """{"status":"running","submission":"$submission"}"""
        service.answered(submission, Answer.Failed(FailureCode.TASK_FAILED, "no disk"))
        status().text() shouldBe """{"status":"failed","submission":"$submission",""" +
            """"code":"TASK_FAILED","mayHaveRun":true,"detail":"no disk"}"""
        status(submission.copy(ticket = submission.ticket.copy(sessionNumber = 99))).httpStatus shouldBe 404
    }

    /** Guards against a "not run" about another caller's running submission, and against disclosure of its output. */
    @Test
    fun `a ticket of another caller is unknown and the refusal names no submission`() {
        submit()
        service.answered(submission, Answer.Complete(listOf("secret")))
        val requests = Operation.entries.map {
            CallerRequest(it, submission, CallerId("other"), body.encodeToByteArray(), 20.seconds)
        }
        requests.forEach { request ->
            val reply = service.handle(request).reply()
            reply.httpStatus shouldBe 404
            reply.text() shouldNotContain "\"submission\""
            reply.text() shouldNotContain "secret"
        }
    }

    /** Guards against a cancellation that is dropped, or answered before the job has ended. */
    @Test
    fun `a cancelled job is answered with what the engine decides`() {
        val waiting = submit()
        val cancelled = service.handle(request(Operation.CANCEL, body = ""))
        sink.inputs.single() shouldBe Input.Cancel(submission)
        cancelled.isDone shouldBe false
        service.answered(submission, Answer.Failed(FailureCode.CANCELLED, "cancelled by the caller"))
        cancelled.reply().httpStatus shouldBe 499
        waiting.reply().text() shouldContain "CANCELLED"
    }

    /** Guards against a false "not run" about a submission whose home no longer exists. */
    @Test
    fun `a submission of an earlier incarnation of the instance may have run`() {
        val old = submission.copy(ticket = submission.ticket.copy(incarnation = Incarnation(6)))
        val reply = service.handle(request(submission = old)).reply()
        reply.httpStatus shouldBe 410
        reply.text() shouldContain "HOME_LOST"
        sink.jobs.shouldBeEmpty()
    }

    /** Guards against a successor that starts a submission, or that loses an answer it received. */
    @Test
    fun `records of a stopped home are replayed and no new submission begins`() {
        val stopped = SubmissionRegistry(home.copy(incarnation = Incarnation(6)), settings)
        val old = SubmissionId(checkNotNull(stopped.openTicket(caller)), 1)
        val oldService = JobService(home.copy(incarnation = Incarnation(6)), stopped, successors, sink, limits)
        oldService.handle(request(submission = old))
        oldService.answered(old, Answer.Complete(listOf("out")))
        oldService.drain()
        successors.add(stopped.export())
        service.handle(request(submission = old)).reply().httpStatus shouldBe 200
        service.handle(request(submission = old.copy(sequence = 2))).reply().httpStatus shouldBe 409
        sink.jobs.size shouldBe 1
    }

    /** Guards against a drain that completes while a job is running, or never completes. */
    @Test
    fun `a drain refuses new jobs and completes when the last running one ends`() {
        submit()
        val drained = service.drain()
        val refused = service.handle(request(submission = submission.copy(sequence = 2))).reply()
        refused.httpStatus shouldBe 503
        refused.text() shouldContain "DRAINING"
        drained.isDone shouldBe false
        service.answered(submission, Answer.Complete(listOf("out")))
        drained.isDone shouldBe true
    }
}
