package medlarroute.dispatch

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** As the backend servers see it, no two runs of a task are active at the same time, whatever fails. */
class ConcurrentRunPropertyTest {
    /** Guards against a start that depends on another record than the one of the runs that may be active. */
    @Test
    fun `no sequence of faults runs a task twice at the same time`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = SEED, iterations = ITERATIONS), Arb.long(0L..1_000_000L)) { seed ->
            ConcurrentRunScenario(Random(seed)).check()
        }
    }

    private companion object {
        const val SEED = 30L
        val ITERATIONS = Integer.getInteger("runs.iterations", 150)
    }
}

/**
 * Two owners of a failure domain each, with random changes of the lists, owners, commands and connections. Clients hand
 * jobs in again, at any owner.
 */
internal class ConcurrentRunScenario(private val random: Random) {
    internal val sim = SimulatedBackends(failureDomains = setOf("d1"))
    private val tokens = hashMapOf("d1" to 1L, "d2" to 1L)
    private val ownerOf = HashMap<String, SimulatedBackends.Owner>()
    private val requests = ArrayList<JobRequest>()
    private val cancelled = HashSet<JobId>()

    /** The owner to which each job was last submitted. */
    private val holders = HashMap<JobId, SimulatedBackends.Owner>()
    private var nextRequest = 0L

    fun check() {
        setUp()
        repeat(FAULTS) {
            sim.run(sim.nowMs + random.nextLong(20, 700))
            disturb()
        }
        sim.run(sim.nowMs + 6_000)
        val task = sim.concurrentRuns.firstOrNull() ?: return
        val trace = sim.trace.filter { "$task " in it || "job ${task.job} " in it || " fault " in it }
        throw AssertionError("$task ran twice at the same time:\n" + trace.joinToString("\n"))
    }

    private fun openJobs(holder: SimulatedBackends.Owner? = null) = requests.filter {
        val isHeld = if (holder == null) it.id in holders else holders[it.id] === holder
        isHeld && it.id !in sim.results && it.id !in cancelled
    }

    private fun setUp() {
        repeat(BACKENDS) { sim.add("b$it", domain = "d${it % 2 + 1}", rack = "r${it / 3}") }
        sim.workMs = { random.nextLong(40, 2_500) }
        val lateShare = random.nextDouble(0.3)
        sim.lateByMs = { if (random.nextDouble() < lateShare) random.nextLong(10, 3_000) else null }
        sim.lateStopByMs = { if (random.nextDouble() < lateShare) random.nextLong(200, 4_000) else null }
        ownerOf["d1"] = sim.owners.single()
        ownerOf["d2"] = sim.addOwner()
        for ((domain, owner) in ownerOf) {
            sim.configure(owner, SimulatedBackends.queue())
            owner.dispatcher.acquire(domain, 1)
        }
        list(isComplete = true)
        sim.run(untilMs = 60)
        repeat(JOBS) { submitNew() }
    }

    private fun disturb() {
        val kind = random.nextInt(12)
        sim.trace("fault $kind")
        when (kind) {
            0, 1 -> list(isComplete = false)
            2 -> list(isComplete = true)
            3 -> cut { backend, isCut -> backend.partitioned = isCut }
            4 -> cut { backend, isCut -> backend.isRefusing = isCut }
            5 -> replaceOwner(isPlanned = false)
            6 -> replaceOwner(isPlanned = true)
            7 -> moveDomain()
            8 -> freezeOwner()
            9 -> cancel()
            10 -> loseInstance()
            else -> submitNew()
        }
    }

    private fun submitNew() {
        val request = sim.job("j${requests.size}", tasks = random.nextInt(1, 5), cpuMillis = 4_000, estimateMs = 300)
        requests += request
        submit(sim.owners.random(random), request, JobProgress(ordered = emptyList()))
    }

    private fun submit(owner: SimulatedBackends.Owner, request: JobRequest, progress: JobProgress?) {
        val origin = JobOrigin("i1", nextRequest++)
        holders[request.id] = owner
        owner.deliver { owner.dispatcher.submit(request, origin, TIMEOUT_MS, 0, progress) }
    }

    /** A backend server is missing from the list at random; the lists of the two owners differ. */
    private fun list(isComplete: Boolean) = sim.owners.forEach { owner ->
        val listed = sim.backends.values.filter { isComplete || random.nextInt(3) > 0 }.map { it.info }
        owner.deliver { owner.dispatcher.updateBackends(listed) }
    }

    private fun cut(set: (SimulatedBackends.Backend, Boolean) -> Unit) {
        val backend = sim.backends.values.random(random)
        set(backend, true)
        sim.after(random.nextLong(50, 2_500)) { set(backend, false) }
    }

    /** Another process takes over what an owner has. The entries hand its jobs in there, or clients do so later. */
    private fun replaceOwner(isPlanned: Boolean) {
        val former = sim.owners.random(random)
        val open = openJobs(former)
        val hasHandedOver = isPlanned && !former.isFrozen
        val moved = if (hasHandedOver) former.dispatcher.handOver() else emptyList()
        sim.kill(former)
        val next = sim.addOwner()
        sim.configure(next, SimulatedBackends.queue())
        ownerOf.filterValues { it === former }.keys.toList().forEach { give(it, next) }
        if (hasHandedOver) {
            moved.forEach { (_, job, progress) -> submit(next, requests.first { it.id == job }, progress) }
        } else {
            for (request in open) {
                // Entries that have survived know that the job may have run; clients hand in new requests later.
                if (random.nextBoolean()) submit(next, request, JobProgress()) else retransmit(request)
            }
        }
    }

    private fun retransmit(request: JobRequest) {
        holders -= request.id
        sim.after(RETRANSMIT_MS + random.nextLong(300)) {
            if (request.id !in cancelled) submit(sim.owners.random(random), request, null)
        }
    }

    private fun give(domain: String, owner: SimulatedBackends.Owner) {
        val token = tokens.getValue(domain) + 1
        tokens[domain] = token
        ownerOf[domain] = owner
        owner.deliver {
            owner.dispatcher.acquire(domain, token)
            owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
            sim.owners.filter { it !== owner && !it.isFrozen }
                .forEach { owner.dispatcher.learnActiveRuns(it.dispatcher.remainingRuns()) }
        }
    }

    /** An owner releases its failure domain to the other one, or takes one back. */
    private fun moveDomain() {
        val domain = ownerOf.keys.random(random)
        val former = ownerOf.getValue(domain)
        val next = sim.owners.filter { it !== former }.randomOrNull(random) ?: return
        if (former.isFrozen) return
        former.dispatcher.release(domain)
        give(domain, next)
    }

    /** The other owner takes over while the process is stopped; entries hand the jobs in there. */
    private fun freezeOwner() {
        val frozen = sim.owners.filterNot { it.isFrozen }.takeIf { it.size > 1 }?.random(random) ?: return
        frozen.isFrozen = true
        sim.after(random.nextLong(900, 1_300)) {
            val next = sim.owners.firstOrNull { !it.isFrozen } ?: return@after
            ownerOf.filterValues { it === frozen }.keys.toList().forEach { give(it, next) }
            openJobs(frozen).forEach { submit(next, it, JobProgress()) }
        }
        sim.after(random.nextLong(1_500, 4_000)) {
            if (frozen !in sim.owners) return@after
            frozen.isFrozen = false
            frozen.dispatcher.handOver()
            ownerOf.filterValues { it !== frozen }.keys.forEach(frozen.dispatcher::release)
        }
    }

    private fun cancel() {
        val job = requests.filter { it.id !in cancelled }.randomOrNull(random)?.id ?: return
        cancelled += job
        sim.owners.forEach { owner -> owner.deliver { owner.dispatcher.cancelForAll(job) } }
    }

    /** An entry instance is lost; the clients hand their jobs in again. */
    private fun loseInstance() {
        val open = openJobs()
        sim.owners.forEach { owner -> owner.deliver { owner.dispatcher.onInstanceLost("i1") } }
        open.forEach(::retransmit)
    }

    private companion object {
        const val BACKENDS = 8
        const val JOBS = 5
        const val FAULTS = 14
        const val TIMEOUT_MS = 60_000L
        const val RETRANSMIT_MS = 1_300L
    }
}
