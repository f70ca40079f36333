package medlarroute.dispatch

import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** Crashes count although the backend server is not listed when they are noticed or when it is back. */
class UnlistedCrashTest {
    private val guilty = TaskKey(JobId("guilty"), 0, 0)

    private fun simulation() = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        repeat(8) { add("b$it") }
        takeOver()
        isSilentWhenDown = true
        crashesAfterMs = { task -> if (task == guilty) 5 else null }
        run(untilMs = 100)
        submit(job("guilty", tasks = 1), timeoutMs = 60_000)
    }

    /** Runs until [untilMs]. Crashed backend servers are listed for another [listedMs], then when they are back. */
    private fun SimulatedBackends.runUnlistingCrashed(untilMs: Long, listedMs: Long) {
        val downSinceMs = HashMap<SimulatedBackends.Backend, Long>()
        while (nowMs < untilMs) {
            run(nowMs + 1)
            backends.values.filter { it.isDown }.forEach { downSinceMs.putIfAbsent(it, nowMs) }
            val listed = backends.values.filter { nowMs - (downSinceMs[it] ?: nowMs + 1) < listedMs }
            dispatcher.updateBackends(listed.map { it.info })
        }
    }

    private fun SimulatedBackends.shouldHaveGivenUp(maxStarts: Int) {
        startsByTask.getValue(guilty) shouldBeLessThanOrEqual maxStarts
        results[guilty.job].shouldBeInstanceOf<JobResult.Failed>()
        concurrentRuns.size shouldBe 0
    }

    /** Guards against forgetting silent backend servers that are unlisted, as in the soak test with seed 1. */
    @Test
    fun `a task is given up when its silent backend servers are unlisted before their leases lapse`() {
        val sim = simulation()
        sim.runUnlistingCrashed(untilMs = 30_000, listedMs = 300)
        sim.shouldHaveGivenUp(maxStarts = 3)
    }

    /** Guards against forgetting the runs on a backend server that is unlisted before the owner notices its crash. */
    @Test
    fun `a task is given up when its backend servers are unlisted as they crash`() {
        val sim = simulation()
        sim.runUnlistingCrashed(untilMs = 30_000, listedMs = 0)
        sim.shouldHaveGivenUp(maxStarts = 5)
    }

    /** Guards against possible crashes that nothing proves, since the new process has another id. */
    @Test
    fun `a task is given up when its unlisted backend servers restart under other ids`() {
        for (listedMs in listOf(0L, 300L, 2_200L)) {
            val sim = simulation()
            sim.restartsUnderNewId = true
            sim.runUnlistingCrashed(untilMs = 30_000, listedMs)
            sim.shouldHaveGivenUp(maxStarts = 5)
        }
    }

    /** Guards against forgetting a silent backend server when the owner loses the control of its failure domain. */
    @Test
    fun `the next owner knows of silent backend servers of a released failure domain`() {
        val sim = simulation()
        sim.run(untilMs = 200)
        sim.dispatcher.release("d1")
        sim.published.getValue(guilty).possibleCrashes.size shouldBe 1
    }

    /** Guards against a planned handover that drops the crashes of which the owner has seen the silence only. */
    @Test
    fun `the progress of a job that is handed over has its silent backend servers`() {
        val sim = simulation()
        sim.run(untilMs = 200)
        val progress = sim.dispatcher.handOver().single().third
        progress.histories.single().possibleCrashes.size shouldBe 1
    }

    /** Guards against counting the loss of runs on backend servers that the platform has taken away. */
    @Test
    fun `a task on backend servers that are taken away is not suspected`() {
        val sim = innocentSimulation()
        repeat(3) {
            sim.run(sim.nowMs + 300)
            sim.backends -= sim.backends.values.first { innocent in it.running }.info.id
            sim.listAll()
            sim.run(sim.nowMs + 1_500)
        }
        sim.shouldNotSuspect()
    }

    /** Guards against counting the restart of a backend server that was drained and unlisted before. */
    @Test
    fun `a task on backend servers that are drained and restarted is not suspected`() {
        val sim = innocentSimulation()
        repeat(3) {
            sim.run(sim.nowMs + 300)
            val drained = sim.backends.values.first { innocent in it.running }
            val others = sim.backends.values.filter { it !== drained }.map { it.info }
            sim.dispatcher.updateBackends(others + drained.info.copy(draining = true))
            sim.run(sim.nowMs + 50)
            drained.stopProcess()
            sim.dispatcher.updateBackends(others)
            sim.run(sim.nowMs + 1_500)
        }
        sim.shouldNotSuspect()
    }

    /** Guards against holding or giving up a task since its backend servers were cut off and unlisted for a while. */
    @Test
    fun `a task on backend servers that are listed again with the same process is not suspected`() {
        val sim = innocentSimulation()
        repeat(3) {
            sim.run(sim.nowMs + 300)
            val cut = sim.backends.values.first { innocent in it.running }
            val noticed = "backend unreachable backend ${cut.info.id} "
            cut.partitioned = true
            while (sim.events.none { it.startsWith(noticed) }) sim.run(sim.nowMs + 1)
            sim.dispatcher.updateBackends(sim.backends.values.filter { it !== cut }.map { it.info })
            sim.dispatcher.histories.single().possibleCrashes.size shouldBe 1
            sim.events.clear()
            sim.run(sim.nowMs + 1_500)
            cut.partitioned = false
            sim.listAll()
            sim.run(sim.nowMs + 100)
        }
        sim.shouldNotSuspect()
    }

    /** Guards against a suspicion that nothing refutes, since the owner reaches the process when it learns of it. */
    @Test
    fun `a silent loss that another instance reports is refuted by the next report of the process`() {
        val sim = innocentSimulation()
        sim.run(sim.nowMs + 300)
        val lost = BackendCrash("b0", 1, wasAlone = true, isProven = false)
        sim.dispatcher.learn(listOf(TaskHistory(innocent, crashes = listOf(lost))))
        sim.run(sim.nowMs + 1_000)
        sim.shouldNotSuspect()
    }

    /** Guards against blaming a task that ran alone when its rack lost power and was unlisted soon. */
    @Test
    fun `the loss of a rack that is unlisted is no crash of a task that ran alone there`() {
        val sim = innocentSimulation(backends = 9)
        repeat(2) {
            sim.run(sim.nowMs + 300)
            val rack = sim.backends.values.first { innocent in it.running }.info.rack
            sim.backends.values.filter { it.info.rack == rack }.forEach { it.stopProcess() }
            sim.run(sim.nowMs + 300)
            sim.dispatcher.updateBackends(sim.backends.values.filter { it.info.rack != rack }.map { it.info })
            sim.run(sim.nowMs + 4_000)
        }
        sim.dispatcher.histories.single().provenCrashes.map { it.isJoint } shouldBe listOf(true, true)
        sim.run(sim.nowMs + 5_000)
        sim.results[innocent.job] shouldBe JobResult.Complete
    }

    private val innocent = TaskKey(JobId("innocent"), 0, 0)

    private fun innocentSimulation(backends: Int = 8) = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        repeat(backends) { add("b$it", rack = "r${it / 3}") }
        takeOver()
        isSilentWhenDown = true
        workMs = { 4_000 }
        run(untilMs = 100)
        submit(job("innocent", tasks = 1, estimateMs = 4_000), timeoutMs = 60_000)
    }

    private fun SimulatedBackends.shouldNotSuspect() {
        dispatcher.histories.flatMap { it.possibleCrashes } shouldBe emptyList()
        run(nowMs + 5_000)
        results[innocent.job] shouldBe JobResult.Complete
        concurrentRuns.size shouldBe 0
    }
}
