package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Admits or refuses jobs as a whole. If a job breaks several limits, the refusal lists all of them. */
internal class AdmissionSystem(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val pool: BackendPool,
    private val deadlines: DeadlineSystem,
    private val placement: PlacementSystem,
) {
    private val off = settings.disabled

    fun submit(job: Job, nowNs: Long) {
        if (job.submission in tables.jobs) return
        val rules = tables.rules
        val row = JobRow(job, rules?.teamOf(job.caller) ?: TeamId(job.caller.value), nowNs)
        tables.addJob(row)
        val refused = refusalOrNull(row, rules, nowNs)
        if (refused != null) return tables.end(row, refused)
        row.admitted = true
        deadlines.add(row)
        placement.enqueue(row)
    }

    private fun refusalOrNull(job: JobRow, rules: Rules?, nowNs: Long): Answer.Refused? {
        if (rules == null) {
            return Answer.Refused(listOf(Refusal(RefusalCode.NO_RULES, "rules", "this instance has no rules yet")))
        }
        val findings = checkLimits(job.spec, rules)
        if (findings.isNotEmpty()) return Answer.Refused(findings)
        estimate(job, rules)
        return overloadOrNull(job, nowNs) ?: quotaOrNull(job, rules, nowNs)
    }

    private fun checkLimits(job: Job, rules: Rules): List<Refusal> {
        val findings = ArrayList<Refusal>()
        if (job.tasks.size !in 1..settings.maxTasksPerJob) {
            val message = "a job has 1 to ${settings.maxTasksPerJob} tasks, this one has ${job.tasks.size}"
            findings += Refusal(RefusalCode.MALFORMED, "tasks", message)
        }
        if (tables.jobs.size > settings.maxOpenJobs) {
            findings += Refusal(RefusalCode.OVERLOAD, "job", "${settings.maxOpenJobs} jobs are open on this instance")
        }
        val callerLimit = rules.openJobLimits[job.caller] ?: settings.maxOpenJobsPerCaller
        if (tables.openJobsByCaller.getOrDefault(job.caller, 0) > callerLimit) {
            findings += Refusal(RefusalCode.CALLER_LIMIT, "caller", "the caller has $callerLimit open jobs")
        }
        val route = rules.routeOf(job.caller, job.kind)
        if (route != null && !pool.hasAllowed(route.failureDomains)) {
            val message = "the rules allow no known backend server for kind ${job.kind}"
            findings += Refusal(RefusalCode.CAN_NEVER_RUN, "kind", message)
        }
        return findings
    }

    private fun estimate(job: JobRow, rules: Rules) {
        val kind = tables.kinds.of(job.spec.kind)
        val classInRules = rules.lengthClasses[job.spec.kind]
        val longNs = (tables.kinds.all.medianNs() * LONG_FACTOR).coerceAtLeast(MIN_LONG_NS)
        for (task in job.tasks) {
            val declaredNs = if (Mechanism.DECLARED in off) null else task.spec.declaredRunTime?.toNs()
            task.estimateNs = kind.estimateNs(declaredNs).toLong()
            task.isLong = when {
                classInRules != null -> classInRules == LengthClass.LONG

                // Once the run times of other kinds are known, a kind without known run times counts as long: otherwise
                // one job of long work, started on all backend servers, could block short work for its whole run time.
                !kind.isKnown -> tables.kinds.all.isKnown

                else -> task.estimateNs >= longNs
            }
            if (task.isLong && (classInRules != null || kind.isKnown)) pool.hasLongWork = true
        }
    }

    /** Refuses a job that is predicted to miss its deadline, from the queued work and the slots of this instance. */
    private fun overloadOrNull(job: JobRow, nowNs: Long): Answer.Refused? {
        if (Mechanism.ADMISSION in off) return null
        // With a backlog, the slots that are estimated to be free are not available to this instance.
        val slots = tables.outstanding + if (placement.isBacklogged(nowNs)) 0.0 else pool.freeSlots
        val timeoutNs = job.spec.timeout.toNs().toDouble()
        val aheadNs = if (job.tasks.any { it.isLong }) tables.queuedWorkNs else shortWorkNs()
        val waitNs = aheadNs / slots.coerceAtLeast(1.0)
        val ownNs = job.tasks.sumOf { it.estimateNs } / slots.coerceAtLeast(1.0)
        val longestNs = tables.kinds.of(job.spec.kind).longestNs(job.tasks.size)
        val endNs = waitNs + maxOf(ownNs, longestNs)
        val excessNs = maxOf(
            endNs - timeoutNs * settings.admissionMargin,
            waitNs - timeoutNs * settings.maxQueueWaitRatio,
        )
        val isIdle = tables.outstanding == 0 && tables.queuedTasks == 0
        if (excessNs <= 0 || isIdle) return null
        val endMs = endNs.toLong() / NS_PER_MS
        val message = "predicted to end after $endMs ms, too late for a timeout of ${job.spec.timeout}"
        val retryAfter = excessNs.toLong().nanoseconds.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        return Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", message)), retryAfter)
    }

    /** Queued work ahead of a short job; long work waits for other backend servers. */
    private fun shortWorkNs(): Long =
        if (Mechanism.LONG_SEPARATION in off) tables.queuedWorkNs else tables.queuedWorkNs - tables.queuedLongWorkNs

    private fun quotaOrNull(job: JobRow, rules: Rules, nowNs: Long): Answer.Refused? {
        if (Mechanism.QUOTAS in off || job.team !in rules.quotas) return null
        val rate = tables.shares[job.team] ?: 0.0
        val team = tables.teams.getOrPut(job.team) { TeamRow() }
        refill(team, rate, nowNs)
        val tasks = job.tasks.size
        if (team.tokens >= tasks) {
            team.tokens -= tasks
            return null
        }
        job.aboveQuota = true
        if (hasSpareSlots(tasks)) return null
        val message = "team ${job.team} is above its share of $rate starts/s and no slots are spare"
        val waitSeconds = if (rate > 0) (tasks - team.tokens) / rate else MAX_RETRY_AFTER.inWholeSeconds.toDouble()
        val retryAfter = waitSeconds.seconds.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        return Answer.Refused(listOf(Refusal(RefusalCode.QUOTA, "team", message)), retryAfter)
    }

    private fun refill(team: TeamRow, rate: Double, nowNs: Long) {
        val capacity = maxOf(rate * BURST_SECONDS, settings.maxTasksPerJob * BURST_JOBS)
        val added = if (team.refilledNs == NEVER_NS) capacity else (nowNs - team.refilledNs) * rate / NS_PER_SECOND
        team.tokens = (team.tokens + added).coerceAtMost(capacity)
        team.refilledNs = nowNs
    }

    /** Started tasks are not preempted, so work above a quota must leave slots for the teams within theirs. */
    private fun hasSpareSlots(tasks: Int): Boolean =
        tables.queuedTasks == 0 && pool.freeSlots - tasks >= (tables.outstanding + pool.freeSlots) * SPARE_RATIO

    private companion object {
        /** Long work is expected to run at least this many times the median run time of all kinds. */
        const val LONG_FACTOR = 8.0
        const val MIN_LONG_NS = 500.0 * NS_PER_MS

        /** Capacity of a team's token bucket: its starts in this time, but at least this many jobs of maximal size. */
        const val BURST_SECONDS = 2.0
        const val BURST_JOBS = 2.0

        /** Part of the slots that must stay free when work above a quota is admitted. */
        const val SPARE_RATIO = 0.4
        val MIN_RETRY_AFTER: Duration = (20 * NS_PER_MS).nanoseconds
        val MAX_RETRY_AFTER: Duration = 10.seconds
    }
}
