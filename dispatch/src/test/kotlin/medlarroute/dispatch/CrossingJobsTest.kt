package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.routing.ReportedLoad
import org.junit.jupiter.api.Test

/**
 * Jobs that change between live owners of different failure domains, in both directions at the same time. The owners
 * talk to their backend servers all the while.
 */
class CrossingJobsTest {
    private val sim = SimulatedBackends()
    private val owners = DOMAINS.associateWith { domain ->
        repeat(BACKENDS_PER_DOMAIN) { sim.add("$domain-$it", domain = domain) }
        sim.addOwner()
    }

    /** An instance that waits for jobs. Nothing that it sends to owners in [unheardBy] arrives. */
    private inner class Entry(private val name: String, var current: String) : OwnerClient {
        val lost = HashSet<String>()
        val unheardBy = HashSet<String>()
        val numbers = ArrayList<Long>()
        val service = EntryService(sim.clock, this) { _, _, _ -> }

        fun nameAt(owner: String) = "$name-$owner"

        override fun ownerOrNull() = current

        override fun nextOrNull(refusedBy: Set<String>): ReportedLoad? = null

        override fun isOwner(instance: String) = true

        override fun isAlive(instance: String) = instance !in lost

        override fun incarnationOrNull(instance: String) = 1L

        override fun submit(owner: String, message: PeerMessage.Submit) {
            numbers += message.number
            val dispatcher = owners[owner]?.dispatcher ?: return
            val origin = JobOrigin(nameAt(owner), message.number)
            dispatcher.submit(message.job, origin, message.timeoutMs, message.waitedMs, message.progress)
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) {
            if (owner in unheardBy) return
            owners[owner]?.dispatcher?.cancel(message.job, JobOrigin(nameAt(owner), message.number), "caller left")
        }

        /** Finds [owner] silent and turns to [next]. */
        fun lose(owner: String, next: String) {
            current = next
            lost += owner
        }
    }

    private val besideJobs = HashSet<JobId>()
    private val besideStarts = owners.size * 2 * BACKENDS_PER_DOMAIN
    private val first = Entry("e1", BORDERS)
    private val second = Entry("e2", ISLANDS)

    init {
        sim.workMs = { if (it.job in besideJobs) 30_000 else 3_000 }
        // Stops take longer than the second owner waits.
        sim.lateStopByMs = { 2_500 }
        sim.losesOwnerMessages = true
        for ((domain, owner) in owners) {
            sim.configure(owner, SimulatedBackends.queue())
            owner.dispatcher.acquire(domain, 1)
            owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
        }
        sim.run(untilMs = 100)
        // The leases of a backend server are extended for all runs there.
        for ((domain, owner) in owners) {
            val beside = sim.job("beside-$domain", tasks = 2 * BACKENDS_PER_DOMAIN, cpuMillis = CPU_MILLIS)
            besideJobs += beside.id
            owner.dispatcher.submit(beside, JobOrigin("e3", owners.keys.indexOf(domain).toLong()), timeoutMs = 60_000)
        }
        sim.run(untilMs = 200)
        sim.starts shouldBe besideStarts
    }

    private fun submit(entry: Entry, id: String) =
        sim.job(id, tasks = 2, cpuMillis = CPU_MILLIS).also { entry.service.submit(it, id, timeoutMs = 60_000) { } }

    private fun runUntil(untilMs: Long) {
        while (sim.nowMs < untilMs) {
            sim.run(sim.nowMs + 50)
            listOf(first, second).forEach { it.service.tick() }
        }
    }

    private fun expectNoConcurrentRuns() {
        val startsBefore = sim.starts
        startsBefore shouldBe besideStarts + 4
        runUntil(sim.nowMs + 6_000)
        sim.starts shouldBeGreaterThan startsBefore
        sim.concurrentRuns.shouldBeEmpty()
    }

    /**
     * Guards against leases that the first owner extends for as long as its polls arrive: one of the two owners stops
     * the runs, but the stops take long; the other is never told that the job has gone.
     */
    @Test
    fun `jobs that cross between two owners run at one of them at a time`() {
        submit(first, "a")
        submit(second, "b")
        runUntil(700)
        sim.silentInstances += second.nameAt(ISLANDS)
        second.unheardBy += ISLANDS
        first.lose(BORDERS, next = ISLANDS)
        second.lose(ISLANDS, next = BORDERS)
        expectNoConcurrentRuns()
    }

    /** As above, with a report of an owner before the first, which says that it has started no task. */
    @Test
    fun `jobs that were handed over before they cross run at one owner at a time`() {
        first.current = STOPPING
        second.current = STOPPING
        submit(first, "a")
        submit(second, "b")
        first.current = BORDERS
        second.current = ISLANDS
        first.service.onMoved(first.numbers.last(), JobId("a"), JobProgress(ordered = emptyList()))
        second.service.onMoved(second.numbers.last(), JobId("b"), JobProgress(ordered = emptyList()))
        runUntil(700)
        first.lose(BORDERS, next = ISLANDS)
        second.lose(ISLANDS, next = BORDERS)
        expectNoConcurrentRuns()
    }

    /** Guards against the same when one owner gives up several jobs, which go to different owners. */
    @Test
    fun `jobs that one owner gives up run at one owner at a time`() {
        second.current = BORDERS
        submit(first, "a")
        submit(second, "b")
        runUntil(700)
        first.lose(BORDERS, next = ISLANDS)
        second.lose(BORDERS, next = NORTHEAST)
        expectNoConcurrentRuns()
    }

    private companion object {
        /** An owner that hands over. */
        const val STOPPING = "z1"
        const val BORDERS = "z2"
        const val ISLANDS = "z3"
        const val NORTHEAST = "z4"
        val DOMAINS = listOf(BORDERS, ISLANDS, NORTHEAST)
        const val BACKENDS_PER_DOMAIN = 3
        const val CPU_MILLIS = 2_000
    }
}
