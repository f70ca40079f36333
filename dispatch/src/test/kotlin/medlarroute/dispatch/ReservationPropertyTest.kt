package medlarroute.dispatch

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** No capacity stays reserved for work that has ended. */
class ReservationPropertyTest {
    /**
     * Guards against a backend server that is never used again, since it stays reserved for a task that was on a silent
     * one and has ended since.
     */
    @Test
    fun `after any series of partitions, pauses and ends each backend server is used again`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = SEED, iterations = ITERATIONS), Arb.long(0L..1_000_000L)) { seed ->
            val sim = ReservationScenario(Random(seed)).run()
            withClue("seed $seed") { checkAllUsed(sim) }
        }
    }

    /**
     * Guards against a task that reserves one idle backend server after the other while it waits for a renewal: a lease
     * that was extended after the last renewal of its job does not allow the start.
     */
    @Test
    fun `a task that waits for a renewal reserves one backend server`() {
        val lapsedAtMs = silentBackendServer(silentFromMs = Long.MAX_VALUE).second
        for (silentFromMs in lapsedAtMs - PAUSE_MS..lapsedAtMs step 20) {
            val (sim, _) = silentBackendServer(silentFromMs)
            sim.run(sim.nowMs + 2_000)
            withClue("silent from $silentFromMs") {
                val reserved = sim.events.filter { it.startsWith("dispatch task-isolated") }
                val moved = sim.events.filter { it.startsWith("dispatch reservation-released") && "MOVED" in it }
                (reserved.size - moved.size) shouldBe 1
                sim.results[JobId("j")] shouldBe JobResult.Complete
                sim.concurrentRuns.shouldBeEmpty()
                sim.backends.values.forEach { it.partitioned = false }
                sim.run(sim.nowMs + SETTLE_MS)
                checkAllUsed(sim)
            }
        }
    }

    /**
     * The backend server with the run of job "j" becomes silent, and the submitter of the job pauses at [silentFromMs].
     * Returns the simulation and the time at which the lease of the run has lapsed.
     */
    private fun silentBackendServer(silentFromMs: Long): Pair<SimulatedBackends, Long> {
        val sim = SimulatedBackends()
        sim.configure(SimulatedBackends.queue(), SimulatedBackends.queue("last", objectiveMs = 2_000))
        repeat(BACKENDS) { sim.add("b$it") }
        sim.takeOver()
        sim.workMs = { 400 }
        sim.run(untilMs = 100)
        sim.submit(sim.job("j", tasks = 1, estimateMs = 400), timeoutMs = 10_000)
        sim.run(untilMs = 200)
        sim.backends.values.single { it.running.isNotEmpty() }.partitioned = true
        while (sim.events.none { it.startsWith("backend leases-lapsed") }) {
            if (sim.nowMs == silentFromMs) {
                sim.silentInstances += "i1"
                sim.after(PAUSE_MS) { sim.silentInstances -= "i1" }
            }
            sim.run(sim.nowMs + 1)
        }
        return sim to sim.nowMs
    }

    /** As many jobs as there are backend servers, each of which takes a whole one, complete at the same time. */
    private fun checkAllUsed(sim: SimulatedBackends) {
        sim.concurrentRuns.shouldBeEmpty()
        sim.outcome = { _, _ -> RunOutcome.DONE }
        sim.workMs = { LAST_WORK_MS }
        val jobs = sim.backends.keys.map {
            sim.job("last-$it", tasks = 1, cpuMillis = 16_000, queue = "last", estimateMs = LAST_WORK_MS)
        }
        jobs.forEach { sim.submit(it, timeoutMs = LAST_WORK_MS * 2) }
        sim.run(sim.nowMs + LAST_WORK_MS * 2)
        jobs.filter { sim.results[it.id] != JobResult.Complete }.map { sim.results[it.id] }.shouldBeEmpty()
        sim.backends.values.all { it.running.isEmpty() } shouldBe true
    }

    private companion object {
        const val SEED = 2L
        const val ITERATIONS = 40
        const val BACKENDS = 6

        /** Longer than the reserve between the longest lease and the limit of a renewed job. */
        const val PAUSE_MS = 340L

        /** Polls of an unreachable backend server are 250 ms apart; its runs are stopped after that. */
        const val SETTLE_MS = 1_000L
        const val LAST_WORK_MS = 1_000L
    }
}

/** Random partitions, pauses of the submitting instance and of the owner, cancellations, and ends of jobs. */
internal class ReservationScenario(private val random: Random) {
    private val sim = SimulatedBackends()
    private val ids = ArrayList<JobId>()

    fun run(): SimulatedBackends {
        sim.configure(SimulatedBackends.queue(), SimulatedBackends.queue("last", objectiveMs = 2_000))
        repeat(BACKENDS) { sim.add("b$it", rack = "r$it") }
        sim.takeOver()
        sim.workMs = { 40 + random.nextLong(600) }
        sim.outcome = { _, _ -> if (random.nextInt(50) == 0) RunOutcome.FAILED else RunOutcome.DONE }
        sim.run(untilMs = 100)
        repeat(ROUNDS) { round ->
            repeat(random.nextInt(4)) { submit("j$round-$it") }
            sim.run(sim.nowMs + random.nextLong(250))
            when (random.nextInt(5)) {
                0, 1 -> cutOff()
                2 -> pauseEntry()
                3 -> pauseOwner()
                else -> cancelOne()
            }
            sim.run(sim.nowMs + random.nextLong(400))
        }
        sim.run(sim.nowMs + QUIET_MS)
        return sim
    }

    private fun submit(id: String) {
        val request = sim.job(id, tasks = 1 + random.nextInt(3), estimateMs = 300)
        ids += request.id
        sim.submit(request, timeoutMs = 500 + random.nextLong(2_500))
    }

    private fun cutOff() {
        val backend = sim.backends.values.random(random)
        backend.partitioned = true
        sim.after(200 + random.nextLong(2_000)) { backend.partitioned = false }
    }

    private fun pauseEntry() {
        sim.silentInstances += "i1"
        sim.after(100 + random.nextLong(500)) { sim.silentInstances -= "i1" }
    }

    private fun pauseOwner() {
        val owner = sim.owners.single()
        owner.isFrozen = true
        sim.after(100 + random.nextLong(500)) { owner.isFrozen = false }
    }

    private fun cancelOne() {
        val job = ids.filter { it !in sim.results }.randomOrNull(random) ?: return
        sim.dispatcher.cancelForAll(job)
    }

    private companion object {
        const val BACKENDS = 6
        const val ROUNDS = 30

        /** Longer than any timeout of a job, partition or ejection. */
        const val QUIET_MS = 9_000L
    }
}
