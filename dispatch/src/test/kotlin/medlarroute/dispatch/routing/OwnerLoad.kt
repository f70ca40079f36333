package medlarroute.dispatch.routing

import medlarroute.dispatch.EntryService
import medlarroute.dispatch.EventLog
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobOrigin
import medlarroute.dispatch.JobProgress
import medlarroute.dispatch.JobRequest
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.NotRunCode
import medlarroute.dispatch.OpenJobs
import medlarroute.dispatch.OwnerClient
import medlarroute.dispatch.OwnerPeers
import medlarroute.dispatch.PeerMessage
import medlarroute.dispatch.SimulatedBackends
import medlarroute.dispatch.TaskKey
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.sin
import kotlin.random.Random

/**
 * Demand of deployment B, scaled to three failure domains of [BACKENDS] backend servers, with an owner and [ENTRIES]
 * entries each. The same jobs arrive in each [run].
 *
 * @property loadFactor multiplies the rate of all jobs.
 * @property phaseMs by how much the oscillation of each failure domain is ahead of that of the previous one.
 * @property domainFactors multiply the rates of the failure domains.
 */
internal class OwnerLoad(
    private val loadFactor: Double,
    private val phaseMs: Long,
    private val seed: Int = 1,
    private val seconds: Int = 14,
    private val domainFactors: List<Double> = listOf(1.0, 1.0, 1.0),
) {
    class Kind(val queue: String, val priority: Int, val perSecond: Double, val tasks: Int, val workMs: Double)

    class Arrival(val atMs: Long, val domain: Int, val entry: Int, val job: JobRequest, val objectiveMs: Long)

    private val random = Random(seed)
    private val works = HashMap<TaskKey, Long>()
    private val maker = SimulatedBackends()
    private val arrivals = (0 until DOMAINS).flatMap { domain -> KINDS.flatMap { arrivalsOf(it, domain) } }

    private fun gaussian() = List(12) { random.nextDouble() }.sum() - 6

    private fun spread(mean: Double) = mean * exp(SPREAD * gaussian() - SPREAD * SPREAD / 2)

    private fun arrivalsOf(kind: Kind, domain: Int): List<Arrival> {
        val list = ArrayList<Arrival>()
        var atMs = START_MS.toDouble()
        while (atMs < seconds * 1_000) {
            val phase = 2 * PI * (atMs + domain * phaseMs) / PERIOD_MS
            val rate = kind.perSecond * loadFactor * domainFactors[domain] * (1 + AMPLITUDE * sin(phase)) / 1_000
            atMs += -ln(1 - random.nextDouble()) / rate
            list += arrival(kind, domain, atMs.toLong(), "${kind.queue}-$domain-${list.size}")
        }
        return list
    }

    private fun arrival(kind: Kind, domain: Int, atMs: Long, id: String): Arrival {
        val width = spread(kind.tasks.toDouble()).roundToInt().coerceIn(1, kind.tasks * 4)
        val jobMs = spread(kind.workMs)
        var longestMs = 0L
        for (index in 0 until width) {
            val tail = if (random.nextDouble() < TAIL_SHARE) TAIL_FACTOR else 1.0
            val workMs = (jobMs * (1 + UNEVEN * gaussian()).coerceAtLeast(0.3) * tail).toLong().coerceAtLeast(1)
            works[TaskKey(JobId(id), 0, index)] = workMs
            longestMs = maxOf(longestMs, workMs)
        }
        val cpu = (DEMAND * (1 + 0.2 * gaussian())).toInt().coerceIn(6_000, 12_000)
        val job = maker.job(id, width, cpu, kind.queue, spread(jobMs).toLong().coerceAtLeast(1))
        return Arrival(atMs, domain, random.nextInt(ENTRIES), job, (1.6 * longestMs + 60).toLong())
    }

    /**
     * Numbers of jobs.
     *
     * @property avoidable refused ones that another failure domain had room for.
     * @property inTimeByDomain shares of those in time.
     */
    class Result(
        val jobs: Int,
        val inTime: Int,
        val refused: Int,
        val avoidable: Int,
        val forwards: Int,
        val inTimeByDomain: List<Double>,
    )

    inner class SimulatedOwner(val name: String, val run: Simulation) : OwnerPeers {
        val owner = run.sim.addOwner(peers = this)
        val dispatcher get() = owner.dispatcher

        override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) =
            run.sim.after(1) { run.entries.getValue(origin.instance).service.onResult(origin.request, job, result) }

        override fun runsRemain(tasks: List<TaskKey>) = Unit

        override fun jobsOpen(jobs: OpenJobs) = Unit

        override fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String) = Unit

        override fun onFenced(failureDomain: String) = error("fenced in $failureDomain")
    }

    inner class Entry(
        val name: String,
        val ownOwner: String,
        val run: Simulation,
        policy: (Entry) -> Policy,
    ) : OwnerClient {
        /** Loads in percent as the owner of the entry's failure domain has told them. */
        val told = HashMap<String, Int>()
        val owners get() = run.owners.keys.toList()
        private val policy = policy(this)
        val service = EntryService(run.sim.clock, this, log = EventLog { _, _, _ -> })

        val reportedLoads get() = owners.map { ReportedLoad(it, told[it] ?: 0) }

        override fun ownerOrNull(): String? = policy.newJob()

        override fun nextOrNull(refusedBy: Set<String>): ReportedLoad? = policy.refused(refusedBy)

        override fun isOwner(instance: String) = instance in run.owners

        override fun isAlive(instance: String) = instance in run.owners

        override fun incarnationOrNull(instance: String) = 1L

        override fun submit(owner: String, message: PeerMessage.Submit) {
            run.submissions++
            run.sim.after(1) {
                run.owners.getValue(owner).dispatcher.submit(
                    message.job,
                    JobOrigin(name, message.number),
                    message.timeoutMs,
                    message.waitedMs + 1,
                )
            }
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) = Unit
    }

    /** Chooses the owners for the jobs of one entry. */
    interface Policy {
        fun newJob(): String

        fun refused(refusedBy: Set<String>): ReportedLoad? = null
    }

    /** One run of the load with [policy]; a single owner has all failure domains if [isGlobal]. */
    inner class Simulation(private val isGlobal: Boolean, policy: (Entry) -> Policy) {
        val sim = SimulatedBackends(failureDomains = emptySet())
        val owners = LinkedHashMap<String, SimulatedOwner>()
        val entries = LinkedHashMap<String, Entry>()
        var submissions = 0
        private val results = HashMap<JobId, Pair<JobResult, Long>>()
        private val heard = HashMap<String, HashMap<String, Int>>()
        private var avoidable = 0

        init {
            for (domain in 0 until DOMAINS) {
                for (number in 0 until BACKENDS) {
                    val cores = if ((number / SPEEDS.size + number) % 3 == 0) CORES * 3 / 2 else CORES
                    sim.add("b$domain-$number", SPEEDS[number % SPEEDS.size], "d$domain", cores)
                }
                if (!isGlobal || domain == 0) owners["o$domain"] = SimulatedOwner("o$domain", this)
                val own = if (isGlobal) "o0" else "o$domain"
                repeat(ENTRIES) { entries["e$domain-$it"] = Entry("e$domain-$it", own, this, policy) }
            }
            val queues = KINDS.map { SimulatedBackends.queue(it.queue, it.priority) }.toTypedArray()
            for ((index, owner) in owners.values.withIndex()) {
                sim.configure(owner.owner, *queues)
                (0 until DOMAINS).filter { isGlobal || it == index }.forEach { owner.dispatcher.acquire("d$it", 1) }
                owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
                sim.after(1 + HEARTBEAT_MS * index / DOMAINS) { heartbeat(owner, index) }
            }
            // The simulated backend servers look up the demands of jobs that they have created themselves.
            arrivals.forEach { sim.job(it.job.id.value, it.job.steps, it.job.queue.value) }
            sim.workMs = { works.getValue(it) }
        }

        private fun renew() {
            for (owner in owners.values) {
                entries.values.forEach { owner.dispatcher.renew(it.name, it.service.openRequestsAt(owner.name), 0) }
            }
            entries.values.forEach { it.service.tick() }
            sim.after(RENEWAL_MS) { renew() }
        }

        /** The owners tell each other and the entries of their domain, and these also what they know of the others. */
        private fun heartbeat(owner: SimulatedOwner, domain: Int) {
            val own = owner.dispatcher.loadPercent()
            val known = heard.getOrPut(owner.name) { HashMap() }
            known[owner.name] = own
            val relayed = HashMap(known)
            sim.after(1) {
                owners.keys.forEach { heard.getOrPut(it) { HashMap() }[owner.name] = own }
                entries.values.filter { isGlobal || it.ownOwner == "o$domain" }
                    .forEach { it.told += relayed }
            }
            sim.after(HEARTBEAT_MS) { heartbeat(owner, domain) }
        }

        fun run(): Result {
            renew()
            for (arrival in arrivals) sim.after(arrival.atMs) { submit(arrival) }
            while (results.size < arrivals.size && sim.nowMs < LAST_MS) sim.run(untilMs = sim.nowMs + 1_000)
            check(sim.concurrentRuns.isEmpty()) { "run twice: ${sim.concurrentRuns}" }
            check(results.size == arrivals.size) { "${arrivals.size - results.size} jobs have no result" }
            val isInTime = { arrival: Arrival ->
                val (result, atMs) = results.getValue(arrival.job.id)
                result == JobResult.Complete && atMs - arrival.atMs <= arrival.objectiveMs
            }
            val inTime = arrivals.count(isInTime)
            val byDomain = arrivals.groupBy { it.domain }.values.map { it.count(isInTime).toDouble() / it.size }
            val refused = results.values.count { it.first is JobResult.NotRun }
            return Result(arrivals.size, inTime, refused, avoidable, submissions - arrivals.size, byDomain)
        }

        private fun submit(arrival: Arrival) {
            val entry = entries.getValue("e${arrival.domain}-${arrival.entry}")
            entry.service.submit(arrival.job, "r", maxOf(1_500, 3 * arrival.objectiveMs)) { result ->
                results[arrival.job.id] = result to sim.nowMs
                if (result is JobResult.NotRun) {
                    check(result.code == NotRunCode.OVERLOAD) { "$result" }
                    check(
                        arrival.job.tasks().none {
                            it in sim.startsByTask
                        },
                    ) { "${arrival.job.id} is not run but was started" }
                    if (hasRoom(arrival)) avoidable++
                }
            }
        }

        /** Whether all tasks fit at once on the backend servers of another failure domain. */
        private fun hasRoom(arrival: Arrival): Boolean {
            val step = arrival.job.steps.single()
            return (0 until DOMAINS).filter { it != arrival.domain }.any { domain ->
                sim.backends.values.filter { it.info.failureDomain == "d$domain" }.sumOf { backend ->
                    val used = backend.running.values.sumOf { it.demand.cpuMillis }
                    (backend.info.capacity.cpuMillis - used) / step.demand.cpuMillis
                } >= step.taskCount
            }
        }
    }

    fun run(isGlobal: Boolean = false, policy: (Entry) -> Policy): Result = Simulation(isGlobal, policy).run()

    companion object {
        const val DOMAINS = 3

        /** Backend servers and entries of a domain; deployment B has about 82 and 14. */
        const val BACKENDS = 24
        const val ENTRIES = 5
        const val CORES = 16
        const val DEMAND = 8_000
        val SPEEDS = listOf(1.0, 1.3)

        /** Rates of a domain: those of deployment B, by the number of backend servers. */
        private const val SCALE = BACKENDS / 245.0
        val KINDS = listOf(
            Kind("short", 0, 127 * SCALE, 8, 51.0),
            Kind("medium", 1, 369 * SCALE, 2, 170.0),
            Kind("long", 2, 23 * SCALE, 4, 760.0),
        )
        const val AMPLITUDE = 0.55
        const val PERIOD_MS = 13_000.0
        const val SPREAD = 0.4
        const val UNEVEN = 0.15
        const val TAIL_SHARE = 0.03
        const val TAIL_FACTOR = 7.0
        const val START_MS = 200L

        /** By then the deadlines of all jobs have passed. */
        const val LAST_MS = 60_000L
        const val HEARTBEAT_MS = 100L
        const val RENEWAL_MS = 50L
    }
}
