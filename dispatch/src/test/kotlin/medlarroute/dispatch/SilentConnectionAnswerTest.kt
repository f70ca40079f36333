package medlarroute.dispatch

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.TestTimeSource

/** Results of jobs when the connections between entries and owners go silent or are reset one by one. */
class SilentConnectionAnswerTest {
    private class Scenario(private val random: Random) {
        private val clock = TestTimeSource()
        private val sim = SimulatedBackends(clock)
        private val fleet = SimulatedFleet(sim, clock, random, OWNERS, ENTRIES, goSilent = true)
        private val owners = ArrayList<SimulatedOwner>()
        private val ownership = SimulatedOwnership(fleet) { owners }
        private val entries = ArrayList<SimulatedEntry>()
        private var jobs = 0

        /** Results other than a complete job, and those that came late, with the reason. */
        val problems = ArrayList<String>()

        fun run() {
            sim.kill(sim.owners.single())
            sim.workMs = { WORK_MS }
            DOMAINS.forEach { domain -> repeat(2) { sim.add("$domain-b$it", domain = domain) } }
            OWNERS.zip(DOMAINS) { name, domain -> owners += SimulatedOwner(fleet, ownership, member(name, domain)) }
            ENTRIES.zip(DOMAINS) { name, domain -> entries += SimulatedEntry(fleet, member(name, domain)) }
            (owners + entries).forEach { it.start() }
            ownership.start(DOMAINS, owners)
            sim.run(WARM_UP_MS)
            repeat(STEPS) {
                submit()
                if (random.nextBoolean()) disturb()
                sim.run(sim.nowMs + random.nextLong(20, 400))
            }
            sim.run(sim.nowMs + TIMEOUT_MS + WORK_MS)
        }

        private fun member(name: String, domain: String) = fleet.newMember(name, domain)

        private fun submit() {
            val request = sim.job("j${jobs++}", tasks = 1, cpuMillis = 1_000, estimateMs = WORK_MS)
            val sentAtMs = sim.nowMs
            entries.random(random).service.submit(request, request.id.value, TIMEOUT_MS) { result ->
                val tookMs = sim.nowMs - sentAtMs
                val isLate = tookMs > WORK_MS + LONGEST_LOSS_MS
                if (result != JobResult.Complete || isLate) problems += "job ${request.id} $result after $tookMs ms"
            }
        }

        private fun disturb() {
            val owner = owners.random(random)
            val other = (owners + entries).filter { it !== owner }.random(random)
            if (random.nextInt(4) == 0) return fleet.links.reset(owner, other)
            val directions = random.nextInt(1, 4)
            fleet.links.silence(owner, other, fromOne = directions != 1, toOne = directions != 2)
        }
    }

    /**
     * Guards against a result that is ready and never sent again, or only at the deadline of its caller. One seed is
     * run again as in [EntryConcurrentRunPropertyTest].
     */
    @Test
    fun `every caller gets its result although connections go silent or are reset`() {
        val firstSeed = java.lang.Long.getLong("entry.runs.first", 0)
        val failing = LinkedHashMap<Long, List<String>>()
        for (seed in firstSeed until firstSeed + Integer.getInteger("entry.runs.seeds", 300)) {
            val problems = Scenario(Random(seed)).also { it.run() }.problems
            if (problems.isNotEmpty()) failing[seed] = problems
        }
        if (failing.isNotEmpty()) throw AssertionError("${failing.size} seeds fail: $failing")
    }

    private companion object {
        val DOMAINS = listOf("d1", "d2")
        val OWNERS = listOf("o1", "o2")
        val ENTRIES = listOf("e1", "e2")
        const val STEPS = 20
        const val WARM_UP_MS = 1_500L
        const val WORK_MS = 300L
        const val TIMEOUT_MS = 8_000L

        /** A lost submission, a job that was withdrawn meanwhile and waits for its lease, and a lost result. */
        const val LONGEST_LOSS_MS = 4_000L
    }
}
