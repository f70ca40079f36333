package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Orders queued tasks and starts them on backend servers. */
internal class PlacementSystem(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val random: Random,
) {
    fun run(now: Duration, effects: MutableList<Effect>) {
        val rules = tables.rules ?: return
        for (job in tables.jobs.values) {
            if (!job.admitted || job.outcome != null) continue
            val route = rules.routeOf(job.spec.caller, job.spec.kind)
            for (task in job.tasks) {
                if (task.state != TaskState.QUEUED) continue
                val backend = leastOutstanding(rules, route) ?: break
                effects += start(task, backend, now)
            }
        }
    }

    private fun leastOutstanding(rules: Rules, route: Route?): BackendRow? =
        tables.backends.values
            .filter { isEligible(it, rules, route) }
            .minByOrNull { it.outstanding + random.nextDouble() }

    private fun isEligible(backend: BackendRow, rules: Rules, route: Route?): Boolean =
        !backend.leaving &&
            backend.outstanding < backend.info.slots &&
            backend.id !in rules.drainedBackends &&
            backend.id !in rules.blockedBackends &&
            (route == null || backend.info.failureDomain in route.failureDomains)

    private fun start(task: TaskRow, backend: BackendRow, now: Duration): Effect.Start {
        task.state = TaskState.STARTED
        task.backend = backend
        task.startedAt = now
        task.sends++
        task.mayHaveRun = true
        backend.outstanding++
        backend.started += task
        val lease = task.job.deadline - now + settings.leaseMarginMs.milliseconds
        val spec = task.job.spec
        return Effect.Start(task.id, backend.id, spec.kind, task.spec.payload, spec.idempotent, lease, now)
    }
}
