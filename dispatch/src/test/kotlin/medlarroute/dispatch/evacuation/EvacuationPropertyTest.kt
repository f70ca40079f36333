package medlarroute.dispatch.evacuation

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import medlarroute.dispatch.EntryService
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobOrigin
import medlarroute.dispatch.JobProgress
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.OpenJobs
import medlarroute.dispatch.OwnerClient
import medlarroute.dispatch.OwnerPeers
import medlarroute.dispatch.PeerMessage
import medlarroute.dispatch.SimulatedBackends
import medlarroute.dispatch.TaskKey
import medlarroute.dispatch.routing.ReportedLoad
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Three failure domains are evacuated and return at random, and their owners and the entries learn of it at different
 * times. No task runs twice at a time, each job gets one result, and "not run" is true.
 */
class EvacuationPropertyTest {
    private class Scenario(seed: Long) {
        val random = Random(seed)
        val sim = SimulatedBackends()
        val nodes = DOMAINS.associateWith { Node(it) }
        val entries = DOMAINS.associateWith { Entry(it) }
        val results = HashMap<JobId, ArrayList<JobResult>>()
        private var jobs = 0

        inner class Node(private val domain: String) : OwnerPeers {
            var evacuated = emptySet<String>()
            val dispatcher = sim.addOwner(name = domain, peers = this).also {
                sim.configure(it, SimulatedBackends.queue(objectiveMs = 400))
            }.dispatcher

            fun tick() {
                dispatcher.evacuation.evacuate(evacuated, sim.nowMs)
                dispatcher.evacuation.moveJobs((DOMAINS - domain - evacuated).toList(), sim.nowMs)
            }

            /** As [medlarroute.dispatch.FleetInstance] does. */
            fun submit(entry: String, message: PeerMessage.Submit) {
                val origin = JobOrigin(entry, message.number)
                val job = message.job.id
                val openAt = dispatcher.openJobSystem.otherOwnerOrNull(job).takeIf { message.progress == null }
                if (openAt != null) return jobMoved(origin, job, JobProgress(ordered = emptyList()), openAt)
                dispatcher.submit(message.job, origin, message.timeoutMs, message.waitedMs, message.progress)
            }

            override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) = later {
                entries.getValue(origin.instance).service.onResult(origin.request, job, result)
            }

            override fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String) = later {
                entries.getValue(origin.instance).service.onMoved(origin.request, job, progress, owner)
            }

            override fun runsRemain(tasks: List<TaskKey>) = later {
                (nodes.values - this).forEach { it.dispatcher.learnActiveRuns(tasks) }
            }

            override fun jobsOpen(jobs: OpenJobs) = later {
                (nodes.values - this).forEach {
                    it.dispatcher.openJobSystem.onAnnounced(domain, jobs, domain < it.domain)
                }
            }

            override fun onFenced(failureDomain: String) = Unit
        }

        inner class Entry(private val domain: String) : OwnerClient {
            var evacuated = emptySet<String>()
            val service = EntryService(sim.clock, this) { _, _, _ -> }

            fun tick() {
                service.tick()
                for ((name, node) in nodes) node.dispatcher.renew(domain, service.openRequestsAt(name), ageMs = 0)
            }

            override fun ownerOrNull() =
                (DOMAINS - evacuated).let { if (domain in it) domain else it.firstOrNull() } ?: domain

            override fun nextOrNull(refusedBy: Set<String>): ReportedLoad? =
                (DOMAINS - refusedBy).randomOrNull(random)?.let { ReportedLoad(it, loadPercent = 0) }

            override fun isOwner(instance: String) = true

            override fun isAlive(instance: String) = true

            override fun incarnationOrNull(instance: String) = 1L

            override fun submit(owner: String, message: PeerMessage.Submit) =
                later { nodes.getValue(owner).submit(domain, message) }

            override fun cancel(owner: String, message: PeerMessage.Cancel) = later {
                nodes.getValue(owner).dispatcher.cancel(message.job, JobOrigin(domain, message.number), "left")
            }
        }

        private fun later(action: () -> Unit) = sim.after(LINK_MS, action)

        private fun evacuate(domains: Set<String>) {
            for (node in nodes.values) sim.after(random.nextLong(MAX_LAG_MS)) { node.evacuated = domains }
            for (entry in entries.values) sim.after(random.nextLong(MAX_LAG_MS)) { entry.evacuated = domains }
        }

        private fun submit(entry: Entry) {
            val job = sim.job("j${jobs++}", tasks = random.nextInt(1, 5), estimateMs = 200)
            results[job.id] = ArrayList()
            entry.service.submit(job, job.id.value, timeoutMs = 1_500) { results.getValue(job.id) += it }
        }

        fun run() {
            sim.kill(sim.owners.first())
            sim.workMs = { random.nextLong(20, 400) }
            for ((domain, node) in nodes) {
                repeat(2) { sim.add("$domain-$it", domain = domain) }
                node.dispatcher.acquire(domain, 1)
            }
            nodes.values.forEach { node -> node.dispatcher.updateBackends(sim.backends.values.map { it.info }) }
            sim.run(untilMs = 100)
            while (sim.nowMs < END_MS) {
                if (random.nextInt(16) == 0) evacuate(DOMAINS.filter { random.nextInt(3) == 0 }.toSet())
                repeat(random.nextInt(3)) { submit(entries.values.random(random)) }
                step()
            }
            evacuate(emptySet())
            while (sim.nowMs < END_MS + 3_000) step()
        }

        private fun step() {
            sim.run(sim.nowMs + 50)
            nodes.values.forEach { it.tick() }
            entries.values.forEach { it.tick() }
        }
    }

    /** Guards against a task that runs at two owners, a job without an answer and a false "not run". */
    @Test
    fun `evacuations at random keep the promises to callers`() {
        var moved = 0
        var completed = 0
        for (seed in 1L..SEEDS) {
            val scenario = Scenario(seed).apply { run() }
            withClue("seed $seed") {
                scenario.sim.concurrentRuns.shouldBeEmpty()
                scenario.results.filterValues { it.size != 1 }.keys.shouldBeEmpty()
                val startedJobs = scenario.sim.startsByTask.keys.mapTo(HashSet()) { it.job }
                scenario.results.filterValues { it.single() is JobResult.NotRun }.keys.filter { it in startedJobs }
                    .shouldBeEmpty()
            }
            moved += scenario.sim.trace.count { "job-yielded" in it }
            completed += scenario.results.values.count { it.single() == JobResult.Complete }
        }
        // The scenarios contain what the promises are about.
        moved shouldBeGreaterThan SEEDS
        completed shouldBeGreaterThan 10 * SEEDS
    }

    private companion object {
        val DOMAINS = setOf("d1", "d2", "d3")
        const val SEEDS = 300
        const val END_MS = 6_000L
        const val LINK_MS = 2L

        /** Longer than the interval of heartbeats. */
        const val MAX_LAG_MS = 600L
    }
}
