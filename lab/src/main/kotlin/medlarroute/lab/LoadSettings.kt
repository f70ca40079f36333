package medlarroute.lab

import kotlin.random.Random

/**
 * Settings of a [LoadGenerator].
 *
 * @property entries addresses of the entry instances' ports for callers, as `host:port`.
 * @property jobs number of jobs.
 * @property jobsPerSecond mean arrival rate; the times between arrivals are exponentially distributed.
 * @property minTasks minimum number of tasks of a job; the number is uniformly distributed up to [maxTasks].
 * @property minTaskMs minimum run time of a short task; it is uniformly distributed up to [maxTaskMs].
 * @property longTaskShare share of the tasks that take [longTaskMs].
 * @property ticketsPerCaller number of tickets that each caller uses in rotation.
 * @property resubmitShare share of the jobs that are sent a second time up to [MAX_RESUBMIT_DELAY_MS] after the first.
 * @property cancelShare share of the jobs that are cancelled up to [MAX_CANCEL_DELAY_MS] after they are sent.
 * @property nonIdempotentShare share of the jobs that are marked as not idempotent.
 * @property attempts maximum number of times that a request is sent until one is answered.
 * @property replays number of the latest complete submissions that are sent again at the end of the run.
 * @property maxDurationMs jobs with a later planned arrival are not sent.
 */
data class LoadSettings(
    val entries: List<String>,
    val jobs: Int = 1_000,
    val jobsPerSecond: Double = 50.0,
    val minTasks: Int = 1,
    val maxTasks: Int = 110,
    val minTaskMs: Int = 10,
    val maxTaskMs: Int = 50,
    val longTaskShare: Double = 0.002,
    val longTaskMs: Int = 500,
    val callers: Int = 4,
    val ticketsPerCaller: Int = 8,
    val deadlineMs: Long = 10_000,
    val resubmitShare: Double = 0.1,
    val cancelShare: Double = 0.02,
    val nonIdempotentShare: Double = 0.2,
    val attempts: Int = 6,
    val replays: Int = 0,
    val maxDurationMs: Long = 120_000,
    val seed: Long = 1,
) {
    init {
        require(entries.isNotEmpty()) { "no entry instance given" }
        require(jobs in 1..MAX_JOBS) { "jobs must be from 1 to $MAX_JOBS" }
        require(jobsPerSecond > 0) { "jobsPerSecond must be above 0" }
        require(minTasks in 1..maxTasks) { "minTasks must be from 1 to maxTasks" }
        require(minTaskMs in 0..maxTaskMs) { "minTaskMs must be from 0 to maxTaskMs" }
        require(maxDurationMs in 1..MAX_DURATION_MS) { "maxDurationMs must be from 1 to $MAX_DURATION_MS" }
        require(callers > 0 && ticketsPerCaller > 0 && attempts > 0) { "callers, tickets and attempts must be above 0" }
    }

    private companion object {
        const val MAX_JOBS = 1_000_000
        const val MAX_DURATION_MS = 3_600_000L
    }
}

/** A job that the load generator sends [arrivalMs] after the start. */
internal class PlannedJob(
    val number: Int,
    val arrivalMs: Double,
    val caller: String,
    val idempotent: Boolean,
    val payloads: List<String>,
    val resubmitAfterMs: Long?,
    val cancelAfterMs: Long?,
)

/** The jobs of a run. The same settings give the same jobs. */
internal fun planLoad(settings: LoadSettings): Sequence<PlannedJob> = sequence {
    val random = Random(settings.seed)
    var arrivalMs = 0.0
    for (number in 0 until settings.jobs) {
        arrivalMs -= Math.log(1 - random.nextDouble()) * MS_PER_S / settings.jobsPerSecond
        yield(planJob(settings, random, number, arrivalMs))
    }
}

private fun planJob(settings: LoadSettings, random: Random, number: Int, arrivalMs: Double): PlannedJob {
    val tasks = random.nextInt(settings.minTasks, settings.maxTasks + 1)
    return PlannedJob(
        number = number,
        arrivalMs = arrivalMs,
        caller = "caller${random.nextInt(settings.callers)}",
        idempotent = random.nextDouble() >= settings.nonIdempotentShare,
        payloads = List(tasks) { "ms=${taskMs(settings, random)};n=${settings.seed}.$number.$it" },
        resubmitAfterMs = random.nextLong(MAX_RESUBMIT_DELAY_MS).takeIf {
            random.nextDouble() < settings.resubmitShare
        },
        cancelAfterMs = random.nextLong(MAX_CANCEL_DELAY_MS).takeIf { random.nextDouble() < settings.cancelShare },
    )
}

private fun taskMs(settings: LoadSettings, random: Random): Int {
    val isLong = random.nextDouble() < settings.longTaskShare
    return if (isLong) settings.longTaskMs else random.nextInt(settings.minTaskMs, settings.maxTaskMs + 1)
}

private const val MS_PER_S = 1_000.0
private const val MAX_RESUBMIT_DELAY_MS = 300L
private const val MAX_CANCEL_DELAY_MS = 200L
