package medlarroute.dispatch.slowstart

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.DispatchSettings
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.RunOutcome
import medlarroute.dispatch.SimulatedBackends
import org.junit.jupiter.api.Test

/** Backend servers of 16 cores with a rising share of the work, in jobs of tasks of 2 cores that run for 10 s. */
class SlowStartTest {
    private fun simulation(backends: Int = 1, settings: DispatchSettings = DispatchSettings(slowStartMs = 2_000)) =
        SimulatedBackends(settings = settings).apply {
            configure(SimulatedBackends.queue(objectiveMs = 600_000, maxAttempts = 50))
            repeat(backends) { add("b$it") }
            workMs = { 10_000 }
        }

    private fun SimulatedBackends.startAll() {
        takeOver()
        run(untilMs = 100)
    }

    private fun SimulatedBackends.submitAll(id: String = "j", tasks: Int = 8) =
        submit(job(id, tasks, cpuMillis = 2_000, estimateMs = 10_000), timeoutMs = 1_000_000)

    private fun SimulatedBackends.runningOn(id: String) = backends.getValue(id).running.size

    private fun SimulatedBackends.slowStarts() = events.filter { it.startsWith("backend slow-start") }

    /** Lists all backend servers, with [coldLeftMs] for the first one. */
    private fun SimulatedBackends.list(coldLeftMs: Long) = dispatcher.updateBackends(
        backends.values.map { if (it.info.id == "b0") it.info.copy(coldLeftMs = coldLeftMs) else it.info },
    )

    /** Guards against full load on a cold backend server, and against a limit that does not rise or end. */
    @Test
    fun `a cold backend server gets a share that rises until its cold time is over`() {
        val sim = simulation()
        sim.takeOver()
        sim.dispatcher.updateBackends(emptyList())
        sim.list(coldLeftMs = 4_000)
        sim.run(untilMs = 100)
        sim.submitAll()
        sim.run(untilMs = 200)
        sim.runningOn("b0") shouldBe 2
        sim.run(untilMs = 2_050)
        sim.runningOn("b0") shouldBe 5
        sim.dispatcher.slowStarts shouldBe 1
        sim.run(untilMs = 4_100)
        sim.runningOn("b0") shouldBe 8
        sim.dispatcher.slowStarts shouldBe 0
    }

    /** Guards against a limit that begins again with each list. */
    @Test
    fun `later lists of a cold backend server do not begin the slow start again`() {
        val sim = simulation()
        sim.takeOver()
        sim.dispatcher.updateBackends(emptyList())
        sim.list(coldLeftMs = 4_000)
        sim.submitAll()
        // The entry is up to two seconds old.
        for (leftMs in listOf(4_000L, 4_000L, 2_000L)) {
            sim.run(sim.nowMs + 1_000)
            sim.list(leftMs)
        }
        sim.run(untilMs = 4_100)
        sim.runningOn("b0") shouldBe 8
        sim.slowStarts().size shouldBe 1
    }

    /** Guards against less service where nothing is cold: at the start of an owner, and of one that follows another. */
    @Test
    fun `backend servers that an owner finds at its start or takeover are not limited`() {
        val sim = simulation()
        sim.startAll()
        sim.submitAll()
        sim.run(untilMs = 150)
        sim.runningOn("b0") shouldBe 8
        val next = simulation()
        next.replaceOwner(token = 2)
        next.run(untilMs = 100)
        next.slowStarts().shouldBeEmpty()
    }

    /** Guards against a limit for one that was idle. */
    @Test
    fun `a backend server that has been idle and healthy is not limited`() {
        val sim = simulation()
        sim.startAll()
        sim.run(untilMs = 30_000)
        sim.submitAll()
        sim.run(sim.nowMs + 50)
        sim.runningOn("b0") shouldBe 8
    }

    /** Guards against a burst on backend servers that have been idle during the evacuation. */
    @Test
    fun `after an evacuation the share rises`() {
        val sim = simulation()
        sim.startAll()
        sim.dispatcher.evacuation.evacuate(setOf("d1"), sim.nowMs)
        sim.run(untilMs = 1_000)
        sim.dispatcher.evacuation.evacuate(emptySet(), sim.nowMs)
        sim.submitAll()
        sim.run(untilMs = 1_100)
        sim.runningOn("b0") shouldBe 2
        sim.run(untilMs = 2_050)
        sim.runningOn("b0") shouldBe 5
        sim.run(untilMs = 3_100)
        sim.runningOn("b0") shouldBe 8
    }

    /** Guards against a burst on a process that has just started. */
    @Test
    fun `the share of a restarted backend server rises`() {
        val sim = simulation()
        sim.startAll()
        sim.crash("b0")
        sim.listAll()
        sim.run(untilMs = 500)
        sim.submitAll()
        sim.run(untilMs = 600)
        sim.runningOn("b0") shouldBeLessThan 4
        sim.slowStarts().single().contains("NEW_PROCESS") shouldBe true
        sim.run(untilMs = 3_000)
        sim.runningOn("b0") shouldBe 8
    }

    /** Guards against a limit for a process that is only newer than the list that a new owner has read. */
    @Test
    fun `a process that an owner reaches first under a newer incarnation is not limited`() {
        val sim = simulation()
        sim.backends["b0"] = sim.Backend(sim.backends.getValue("b0").info.copy(incarnation = 2), 1.0)
        sim.dispatcher.acquire("d1", 1)
        sim.dispatcher.updateBackends(sim.backends.values.map { it.info.copy(incarnation = 1) })
        sim.run(untilMs = 200)
        sim.slowStarts().shouldBeEmpty()
    }

    /** Guards against full load after a single success. */
    @Test
    fun `the share rises after an ejection that ended with a success`() {
        val sim = simulation()
        sim.startAll()
        sim.workMs = { 50 }
        sim.outcome = { _, _ -> if (sim.nowMs < 1_000) RunOutcome.FAILED else RunOutcome.DONE }
        sim.submitAll("failing", tasks = 2)
        sim.run(untilMs = 900)
        sim.events.count { it.startsWith("backend ejected") } shouldBe 1
        while (sim.slowStarts().isEmpty() && sim.nowMs < 20_000) sim.run(sim.nowMs + 10)
        sim.slowStarts().single().contains("EJECTION_ENDED") shouldBe true
        sim.workMs = { 10_000 }
        sim.submitAll()
        sim.run(sim.nowMs + 100)
        sim.runningOn("b0") shouldBeLessThan 4
        sim.run(sim.nowMs + 2_500)
        sim.runningOn("b0") shouldBe 8
    }

    /** Guards against a task that waits although its backend server is idle, as it needs more than the share. */
    @Test
    fun `one task always fits`() {
        val sim = simulation()
        sim.startAll()
        sim.dispatcher.evacuation.evacuate(setOf("d1"), sim.nowMs)
        sim.dispatcher.evacuation.evacuate(emptySet(), sim.nowMs)
        sim.workMs = { 50 }
        sim.submit(sim.job("j", tasks = 1, cpuMillis = 16_000))
        sim.run(sim.nowMs + 150)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against jobs that are admitted for capacity that is not there yet. */
    @Test
    fun `the predicted capacity is the limited one`() {
        val sim = simulation()
        sim.startAll()
        sim.submitAll(tasks = 1)
        sim.run(untilMs = 200)
        sim.dispatcher.loadPercent() shouldBe 12
        sim.dispatcher.evacuation.evacuate(setOf("d1"), sim.nowMs)
        sim.dispatcher.evacuation.evacuate(emptySet(), sim.nowMs)
        sim.dispatcher.loadPercent() shouldBe 50
        sim.run(sim.nowMs + 1_000)
        sim.dispatcher.loadPercent() shouldBe 20
    }

    @Test
    fun `a duration of 0 turns it off except for cold ones`() {
        val sim = simulation(settings = DispatchSettings(slowStartMs = 0))
        sim.startAll()
        sim.dispatcher.evacuation.evacuate(setOf("d1"), sim.nowMs)
        sim.dispatcher.evacuation.evacuate(emptySet(), sim.nowMs)
        sim.dispatcher.slowStarts shouldBe 0
        sim.list(coldLeftMs = 500)
        sim.dispatcher.slowStarts shouldBe 1
    }

    /** Guards against a message with the whole list each time that the cold time left of an entry has changed. */
    @Test
    fun `lists that differ in the cold time only count as equal`() {
        val infos = simulation(backends = 2).backends.values.map { it.info }
        val colder = infos.map { it.copy(coldLeftMs = 10) }
        differOnlyInColdTime(infos, colder) shouldBe true
        differOnlyInColdTime(infos, infos.take(1)) shouldBe false
        differOnlyInColdTime(infos, colder.map { it.copy(draining = true) }) shouldBe false
    }
}
