package medlarroute.core

import kotlin.time.Duration

/** Admits whole jobs or refuses them with all reasons. */
internal class AdmissionSystem(private val settings: EngineSettings, private val tables: Tables) {
    fun submit(job: Job, now: Duration) {
        if (job.submission in tables.jobs) return
        val rules = tables.rules
        val row = JobRow(job, rules?.teamOf(job.caller) ?: TeamId(job.caller.value), now)
        val findings = findings(job, rules)
        if (findings.isNotEmpty()) row.outcome = Answer.Refused(findings)
        row.admitted = findings.isEmpty()
        tables.addJob(row)
    }

    fun run(now: Duration) {
        check(now >= Duration.ZERO)
    }

    private fun findings(job: Job, rules: Rules?): List<Refusal> {
        if (rules == null) return listOf(Refusal(RefusalCode.NO_RULES, "rules", "this instance has no rules yet"))
        val findings = ArrayList<Refusal>()
        if (job.tasks.size !in 1..settings.maxTasksPerJob) {
            val message = "a job has 1 to ${settings.maxTasksPerJob} tasks, this one has ${job.tasks.size}"
            findings += Refusal(RefusalCode.MALFORMED, "tasks", message)
        }
        if (tables.jobs.size >= settings.maxOpenJobs) {
            findings += Refusal(RefusalCode.OVERLOAD, "job", "${settings.maxOpenJobs} jobs are open on this instance")
        }
        val callerLimit = rules.openJobLimits[job.caller] ?: settings.maxOpenJobsPerCaller
        if (tables.openJobsByCaller.getOrDefault(job.caller, 0) >= callerLimit) {
            findings += Refusal(RefusalCode.CALLER_LIMIT, "caller", "the caller has $callerLimit open jobs")
        }
        if (!canRun(job, rules)) {
            val message = "the rules allow no known backend server for kind ${job.kind}"
            findings += Refusal(RefusalCode.CAN_NEVER_RUN, "kind", message)
        }
        return findings
    }

    private fun canRun(job: Job, rules: Rules): Boolean {
        val route = rules.routeOf(job.caller, job.kind) ?: return true
        return tables.backends.values.any { it.info.failureDomain in route.failureDomains }
    }
}
