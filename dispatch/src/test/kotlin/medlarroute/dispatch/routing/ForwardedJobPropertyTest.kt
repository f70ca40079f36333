package medlarroute.dispatch.routing

import io.kotest.matchers.collections.shouldHaveAtMostSize
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import medlarroute.dispatch.EntryService
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobProgress
import medlarroute.dispatch.JobRequest
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.NotRunCode
import medlarroute.dispatch.OwnerClient
import medlarroute.dispatch.PeerMessage
import medlarroute.dispatch.QueueId
import medlarroute.dispatch.Resources
import medlarroute.dispatch.StepRequest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Jobs of one entry under random refusals, losses of owners, reconnections and loads that are out of date. */
class ForwardedJobPropertyTest {
    private class Scenario(seed: Long) : OwnerClient {
        private val random = Random(seed)
        private val clock = TestTimeSource()
        private val names = List(random.nextInt(1, 6)) { "o$it" }
        private val alive = names.toMutableSet()
        private val routing = RefusedJobRouting(limitPercent = 120)
        private val entry = EntryService(clock, this) { _, _, _ -> }
        private val inbox = ArrayList<Pair<String, PeerMessage.Submit>>()

        /** Owners that hold a job, by job. An owner whose process has ended holds none. */
        private val holders = HashMap<JobId, HashSet<String>>()
        private val started = HashSet<JobId>()
        private val refusals = HashMap<Pair<JobId, String>, Int>()
        private val results = HashMap<JobId, ArrayList<JobResult>>()
        private val numbers = HashMap<Pair<JobId, String>, Long>()
        private val incarnations = HashMap<String, Long>()

        /** Refusals that the process of an owner has sent, by the number of the request. It repeats them. */
        private val recorded = HashMap<Pair<String, Long>, JobResult>()

        override fun ownerOrNull() = names.firstOrNull { it in alive }

        override fun nextOrNull(refusedBy: Set<String>) =
            routing.nextOrNull(alive.map { ReportedLoad(it, random.nextInt(0, 140)) }, refusedBy)

        override fun isOwner(instance: String) = instance in alive

        override fun isAlive(instance: String) = instance in alive

        override fun incarnationOrNull(instance: String) = incarnations[instance] ?: 1L

        override fun submit(owner: String, message: PeerMessage.Submit) {
            inbox += owner to message
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) {
            inbox.removeAll { it.first == owner && it.second.number == message.number }
            holders[message.job]?.remove(owner)
        }

        fun run() {
            repeat(JOBS) { number ->
                val job = JobRequest(JobId("j$number"), QueueId("q"), "p", listOf(StepRequest(1, Resources(1))))
                entry.submit(job, "r$number", TIMEOUT_MS) { results.getOrPut(job.id) { ArrayList() } += it }
                repeat(random.nextInt(0, 4)) { step() }
            }
            repeat(STEPS) { step() }
            clock += (TIMEOUT_MS + 1).milliseconds
            entry.tick()
            check()
        }

        private fun step() {
            when (random.nextInt(12)) {
                0 -> lose()
                1 -> names.random(random).let { if (alive.add(it)) entry.onReconnected(it) }
                2 -> alive.randomOrNull(random)?.let { entry.onReconnected(it) }
                3 -> complete()
                4 -> advance()
                else -> process()
            }
            holders.values.forEach { it shouldHaveAtMostSize 1 }
        }

        private fun advance() {
            clock += random.nextInt(1, 120).milliseconds
            entry.tick()
        }

        private fun lose() {
            val owner = alive.randomOrNull(random) ?: return
            alive -= owner
            incarnations.merge(owner, 2L) { number, _ -> number + 1 }
            recorded.keys.removeAll { it.first == owner }
            inbox.removeAll { it.first == owner }
            holders.values.forEach { it -= owner }
            entry.tick()
        }

        /** An owner refuses or accepts a job; one with the progress of an earlier owner is always accepted. */
        private fun process() {
            if (inbox.isEmpty()) return
            val (owner, message) = inbox.removeAt(random.nextInt(inbox.size))
            val job = message.job.id
            recorded[owner to message.number]?.let { return entry.onResult(message.number, job, it) }
            val held = holders.getOrPut(job) { HashSet() }
            if (owner in held) return
            if (message.progress == null && random.nextInt(3) > 0) {
                refusals.merge(job to owner, 1, Int::plus)
                val code = if (random.nextInt(4) > 0) NotRunCode.OVERLOAD else NotRunCode.CAN_NEVER_RUN
                val refusal = JobResult.NotRun(code, "full", 1_000)
                recorded[owner to message.number] = refusal
                return entry.onResult(message.number, job, refusal)
            }
            held += owner
            if (random.nextBoolean()) started += job
            numbers[job to owner] = message.number
        }

        private fun complete() {
            val (job, owners) = holders.entries.filter { it.value.isNotEmpty() }.randomOrNull(random) ?: return
            val owner = owners.first()
            owners.clear()
            val number = numbers.getValue(job to owner)
            when (random.nextInt(3)) {
                0 -> entry.onMoved(number, job, JobProgress())
                else -> entry.onResult(number, job, JobResult.Complete)
            }
        }

        private fun check() {
            results.values.forEach { it shouldHaveSize 1 }
            results.keys shouldHaveSize JOBS
            refusals.values.forEach { it shouldBeLessThanOrEqual 1 }
            val notRun = results.filterValues { it.single() is JobResult.NotRun }.keys
            (notRun intersect started).toList() shouldHaveSize 0
        }
    }

    /**
     * Guards against a job that goes around between owners, that two owners are responsible for, that is reported as
     * not run although it may have started, or that gets no answer or two.
     */
    @Test
    fun `a forwarded job has one owner, asks each once and is reported as not run only if no task was started`() =
        runBlocking<Unit> { checkAll(ITERATIONS, Arb.long()) { Scenario(it).run() } }

    /** Guards against a choice that asks an owner again or one with more queued work than it can start. */
    @Test
    fun `only owners below the limit that have not refused are chosen, the least loaded first`() = runBlocking<Unit> {
        checkAll(ITERATIONS, Arb.long()) { seed ->
            val random = Random(seed)
            val owners = List(random.nextInt(0, 6)) { ReportedLoad("o$it", random.nextInt(0, 200)) }
            val refusedBy = owners.filter { random.nextBoolean() }.mapTo(HashSet()) { it.owner }
            val open = owners.filter { it.owner !in refusedBy && it.loadPercent < 120 }
            val chosen = RefusedJobRouting(limitPercent = 120).nextOrNull(owners, refusedBy)
            check(chosen?.loadPercent == open.minOfOrNull { it.loadPercent } && (chosen == null || chosen in open))
        }
    }

    private companion object {
        const val ITERATIONS = 500
        const val JOBS = 5
        const val STEPS = 60
        const val TIMEOUT_MS = 1_500L
    }
}
