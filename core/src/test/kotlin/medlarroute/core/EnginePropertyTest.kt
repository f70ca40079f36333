package medlarroute.core

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Checks that no task is started twice, after the answer to its job or on a forbidden backend server, and that each job
 * is answered once and by its deadline, whatever the order of jobs, replies and cluster changes. The seed is fixed, so
 * that the result is reproducible;
 * `JAVA_TOOL_OPTIONS="-Dengine.seed=1 -Dengine.runs=10000"` runs others.
 */
class EnginePropertyTest {
    @Test
    fun `random workloads with random replies never break the rules for starts and answers`() {
        val seed = System.getProperty("engine.seed")?.toLong() ?: SEED
        val runs = System.getProperty("engine.runs")?.toInt() ?: RUNS
        println("engine: $runs random runs, engine.seed=$seed")
        val config = PropTestConfig(seed = seed, iterations = runs)
        runBlocking { checkAll(config, Arb.long()) { run -> withClue("run seed $run") { RandomRun(run).run() } } }
    }

    @Test
    fun `a seed replays the same run`() {
        RandomRun(SEED).run() shouldBe RandomRun(SEED).run()
    }

    private companion object {
        const val RUNS = 300
        const val SEED = 7L
    }
}

/**
 * One random run against an engine. A [Sent] is a start without a result yet. Replies may be duplicated or late, and
 * arrive out of order or after the job has ended.
 */
private class RandomRun(seed: Long) {
    private class Sent(val start: Effect.Start)

    private class SubmittedJob(val job: Job, val arrivedMs: Long) {
        val startsOf = IntArray(job.tasks.size)
        val notStartedOf = IntArray(job.tasks.size)
        val doneOutputs = arrayOfNulls<String>(job.tasks.size)
        var answer: Answer? = null
        var wasCancelled = false
    }

    private val random = Random(seed)
    private val clock = TestTimeSource()
    private var nowMs = 0L
    private val engine = Engine(settings(), clock, Random(seed + 1))
    private val jobs = LinkedHashMap<SubmissionId, SubmittedJob>()
    private val sent = ArrayList<Sent>()
    private val pastReplies = ArrayList<Input>()
    private val blocked = HashSet<BackendId>()
    private val leavingBackends = HashSet<BackendId>()
    private var sequence = 0L
    private var rulesVersion = 1L
    private val trace = StringBuilder()

    private fun settings() =
        EngineSettings(
            failureDomain = "d0",
            maxOpenJobs = 40,
            maxOpenJobsPerCaller = 20,
            disabled = Mechanism.entries.filter { random.nextInt(10) == 0 }.toSet(),
        )

    fun run(): String {
        tick(listOf(Input.RulesChanged(rules())) + (0 until BACKENDS).map { Input.BackendServing(backend(it)) })
        repeat(STEPS) { step() }
        drain()
        return trace.toString()
    }

    private fun step() {
        advance(if (random.nextInt(10) == 0) random.nextLong(500) else random.nextLong(20))
        tick(List(random.nextInt(4)) { randomInput() })
    }

    private fun advance(ms: Long) {
        nowMs += ms
        clock += ms.milliseconds
    }

    private fun randomInput(): Input =
        when (random.nextInt(20)) {
            in 0..4 -> submit()
            in 5..14 -> reply()
            15 -> jobs.keys.randomOrNull(random)?.let { cancel(it) } ?: submit()
            16 -> Input.BackendServing(backend(random.nextInt(BACKENDS + 2))).also { leavingBackends -= it.backend.id }
            17 -> Input.BackendLeaving(backendId()).also { leavingBackends += it.backend }
            18 -> Input.BackendRemoved(backendId()).also { leavingBackends += it.backend }
            else -> if (random.nextBoolean()) Input.RulesChanged(rules()) else shares()
        }

    private fun cancel(submission: SubmissionId): Input {
        jobs.getValue(submission).wasCancelled = true
        return Input.Cancel(submission)
    }

    private fun shares() = Input.SharesChanged(mapOf(TeamId("t0") to random.nextDouble(20.0)))

    private fun rules(): Rules {
        blocked.clear()
        if (random.nextBoolean()) blocked += backendId()
        val domains = setOf(FailureDomainId("d0"), FailureDomainId("d1")).filter { random.nextInt(4) > 0 }.toSet()
        return Rules(
            version = rulesVersion++,
            teams = mapOf(CallerId("c0") to TeamId("t0")),
            quotas = mapOf(TeamId("t0") to 10.0),
            routes = listOf(Route(CallerId("c1"), null, domains)),
            blockedBackends = blocked.toSet(),
        )
    }

    private fun backend(index: Int) =
        BackendServer(BackendId("b$index"), FailureDomainId("d${index % 2}"), slots = 1 + index % 3)

    private fun backendId() = BackendId("b${random.nextInt(BACKENDS)}")

    private fun submit(): Input {
        val known = jobs.values.randomOrNull(random)
        if (known != null && random.nextInt(10) == 0 && known.answer == null) return Input.Submit(known.job)
        val caller = random.nextInt(3)
        val job = Job(
            submission = SubmissionId(TICKET, ++sequence),
            caller = CallerId("c$caller"),
            kind = KindId("k${random.nextInt(3)}"),
            timeout = random.nextLong(50, 3_000).milliseconds,
            tasks = List(random.nextInt(1, 9)) { TaskSpec("p", random.nextLong(2_000).milliseconds) },
        )
        jobs[job.submission] = SubmittedJob(job, nowMs)
        return Input.Submit(job)
    }

    private fun reply(): Input {
        if (pastReplies.isNotEmpty() && random.nextInt(6) == 0) return pastReplies.random(random)
        if (sent.isEmpty()) return submit()
        val start = sent.removeAt(random.nextInt(sent.size)).start
        val input = answerTo(start)
        // A duplicate proof that the task did not start would wrongly apply to a later start of the same task.
        if (input !is Input.TaskNotStarted) pastReplies += input
        return input
    }

    private fun answerTo(start: Effect.Start): Input {
        val known = jobs.getValue(start.task.submission)
        val usage = BackendUsage(random.nextInt(5), 4).takeIf { random.nextBoolean() }
        return when (random.nextInt(12)) {
            in 0..7 -> done(known, start, usage)

            8 -> Input.TaskFailed(start.task, "error", usage)

            9 -> Input.TaskLost(start.task, "lost")

            else -> {
                known.notStartedOf[start.task.index]++
                Input.TaskNotStarted(start.task, NotStartedReason.entries.random(random), usage)
            }
        }
    }

    private fun done(known: SubmittedJob, start: Effect.Start, usage: BackendUsage?): Input {
        val output = "${start.task}"
        known.doneOutputs[start.task.index] = output
        return Input.TaskDone(start.task, output, random.nextLong(1, 900).milliseconds, usage)
    }

    private fun tick(inputs: List<Input>) {
        val effects = engine.tick(inputs)
        trace.append(nowMs).append(effects).append('\n')
        effects.forEach(::check)
        checkDeadlines()
    }

    private fun check(effect: Effect) {
        when (effect) {
            is Effect.Start -> started(effect)
            is Effect.Answered -> answered(effect)
            is Effect.Stop -> check(sent.any { it.start.task == effect.task }) { "stop of a task that is not running" }
        }
    }

    private fun started(start: Effect.Start) {
        val known = jobs.getValue(start.task.submission)
        val index = start.task.index
        check(known.answer == null) { "${start.task} started after the answer" }
        check(known.startsOf[index] == known.notStartedOf[index]) { "${start.task} started twice" }
        check(start.backend !in leavingBackends) { "${start.task} started on ${start.backend}, which is leaving" }
        check(start.backend !in blocked) { "${start.task} started on ${start.backend}, which the rules block" }
        known.startsOf[index]++
        sent += Sent(start)
    }

    private fun answered(effect: Effect.Answered) {
        val known = jobs.getValue(effect.submission)
        check(known.answer == null) { "${effect.submission} answered twice" }
        known.answer = effect.answer
        val mayHaveRun = known.startsOf.indices.any { known.startsOf[it] > known.notStartedOf[it] }
        when (val answer = effect.answer) {
            is Answer.Complete -> answer.outputs shouldBe known.doneOutputs.toList()

            is Answer.Refused -> check(!mayHaveRun) { "${effect.submission} refused as not run, but may have run" }

            // A proof that arrives after the end of the job, in the same tick, doesn't turn the failure into a refusal.
            is Answer.Failed -> check(known.startsOf.any { it > 0 }) { "${effect.submission} failed without a start" }
        }
    }

    private fun checkDeadlines() {
        for (known in jobs.values) {
            if (known.answer != null) continue
            val late = known.arrivedMs + known.job.timeout.inWholeMilliseconds < nowMs
            check(!late) { "${known.job.submission} has no answer at its deadline" }
            check(!known.wasCancelled) { "${known.job.submission} has no answer after a cancellation" }
        }
        engine.openJobs shouldBe jobs.values.count { it.answer == null }
    }

    private fun drain() {
        advance(10.seconds.inWholeMilliseconds)
        tick(emptyList())
        check(jobs.values.all { it.answer != null }) { "a job has no answer" }
        engine.openJobs shouldBe 0
        engine.queuedTasks shouldBe 0
        engine.outstandingTasks shouldBe 0
        while (sent.isNotEmpty()) tick(listOf(answerTo(sent.removeLast().start)))
        engine.outstandingTasks shouldBe 0
        engine.outstandingByBackend().values.forEach { it shouldBe 0 }
    }

    private companion object {
        const val BACKENDS = 6
        const val STEPS = 200
        val TICKET = TicketId(FailureDomainId("d0"), InstanceId("e1"), Incarnation(1), 1)
    }
}
