package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.TestTimeSource

/**
 * Several owners are restarted, killed or paused at once, and a process that has just started becomes an owner. A
 * caller sends its job again there, while runs of its first submission go on in another failure domain.
 */
class OwnersLostAtOnceTest {
    private val clock = TestTimeSource()
    private val sim = SimulatedBackends(clock)
    private val fleet =
        SimulatedFleet(
            sim,
            clock,
            Random(1),
            listOf("o1", "o2"),
            listOf("e1", "e2"),
            failureDomains = listOf("d1", "d2"),
        )
    private val ownership = SimulatedOwnership(fleet) { emptyList() }
    private val job = sim.job("j", tasks = 1, cpuMillis = 4_000, estimateMs = 300)
    private val first = startOwner("o1")
    private val second = startOwner("o2")
    private val firstEntry = startEntry("e1", "d1")
    private val secondEntry = startEntry("e2", "d2")

    init {
        sim.kill(sim.owners.first())
        sim.workMs = { 9_000 }
        sim.add("d1-b0", domain = "d1")
        sim.add("d2-b1", domain = "d2")
        first.acquire("d1", 1)
        second.acquire("d2", 1)
        sim.run(untilMs = 400)
        submit(firstEntry)
        sim.run(sim.nowMs + 20)
        sim.starts shouldBe 1
    }

    private fun startOwner(name: String): SimulatedOwner {
        val owner = SimulatedOwner(fleet, ownership, fleet.newMember(name, if (name == "o1") "d1" else "d2"))
        return owner.also { it.start() }
    }

    private fun startEntry(name: String, domain: String) =
        SimulatedEntry(fleet, fleet.newMember(name, domain)).also { it.start() }

    private fun submit(entry: SimulatedEntry) = entry.service.submit(job, "r", timeoutMs = 60_000) { }

    private fun cutOwners(forMs: Long) {
        fleet.links.cut("o1", "o2", forMs)
        fleet.links.cut("o2", "o1", forMs)
    }

    /** The caller sends its job again at an instance whose owner is the restarted one. */
    private fun expectNoConcurrentRuns() {
        sim.run(sim.nowMs + 100)
        submit(secondEntry)
        sim.run(sim.nowMs + 3_000)
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against a restarted process that takes an owner which it hasn't heard yet for none. */
    @Test
    fun `a new owner starts nothing before it has heard the owner of each failure domain`() {
        sim.run(untilMs = 1_500)
        second.kill(losesPower = false)
        cutOwners(forMs = 700)
        val restarted = startOwner("o2")
        sim.run(sim.nowMs + 450)
        restarted.acquire("d2", 2)
        expectNoConcurrentRuns()
    }

    /** Guards against the same where the connection comes up after the end of the wait. */
    @Test
    fun `a new owner that connects late starts nothing beside a live owner`() {
        sim.run(untilMs = 1_500)
        second.kill(losesPower = false)
        cutOwners(forMs = 900)
        val restarted = startOwner("o2")
        sim.run(sim.nowMs + 450)
        restarted.acquire("d2", 2)
        expectNoConcurrentRuns()
    }

    /** Guards against the same where that owner is paused, and its runs go on. */
    @Test
    fun `a new owner starts nothing before the runs of a paused owner have ended`() {
        sim.run(untilMs = 1_500)
        second.kill(losesPower = false)
        firstEntry.pause()
        first.pause()
        val restarted = startOwner("o2")
        sim.run(sim.nowMs + 300)
        restarted.acquire("d2", 2)
        expectNoConcurrentRuns()
    }

    /** Guards against the same where a process has followed the lost owner, and owns nothing. */
    @Test
    fun `a new owner starts nothing before the runs of a restarted owner have ended`() {
        second.lose(setOf("d2"), isPlanned = false)
        sim.run(untilMs = 1_500)
        firstEntry.kill(losesPower = true)
        first.kill(losesPower = true)
        sim.run(sim.nowMs + 50)
        startOwner("o1")
        sim.run(sim.nowMs + 150)
        second.acquire("d2", 2)
        expectNoConcurrentRuns()
    }

    /** Guards against jobs that wait longer than necessary after an owner was replaced. */
    @Test
    fun `a new owner starts jobs as soon as the owners of the other failure domains have told it of theirs`() {
        sim.run(untilMs = 1_500)
        second.kill(losesPower = false)
        val restarted = startOwner("o2")
        sim.run(sim.nowMs + 450)
        restarted.acquire("d2", 2)
        secondEntry.service.submit(sim.job("k", tasks = 1, estimateMs = 300), "r", timeoutMs = 60_000) { }
        sim.run(sim.nowMs + 150)
        sim.starts shouldBe 2
    }
}
