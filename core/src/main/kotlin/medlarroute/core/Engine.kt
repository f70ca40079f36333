package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.TimeSource

/**
 * Decides which jobs to admit, which task to start next and on which backend server, and what the answer to a job is.
 *
 * Not thread-safe: one thread calls [tick]. Does no I/O; the caller carries out the effects and feeds back what came of
 * them. Each submitted job gets exactly one [Effect.Answered].
 */
public class Engine(
    private val settings: EngineSettings,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    random: Random = Random.Default,
) {
    private val origin = clock.markNow()
    private val tables = Tables()
    private val pool = BackendPool(settings, tables, random)
    private val backends = BackendSystem(settings, tables, pool)
    private val deadlines = DeadlineSystem(tables)
    private val placement = PlacementSystem(settings, tables, pool)
    private val replies = ReplySystem(tables, pool, backends, placement)
    private val admission = AdmissionSystem(settings, tables, pool, deadlines, placement)
    private val answers = AnswerSystem(tables, pool, backends, placement)

    /** Time since the engine was created; the time base of [Effect.Start.decidedAt]. */
    public fun elapsed(): Duration = origin.elapsedNow()

    /** Number of jobs that have no answer yet. */
    public val openJobs: Int get() = tables.jobs.size

    /** Number of tasks that wait for a backend server. */
    public val queuedTasks: Int get() = tables.queuedTasks

    /** Number of started tasks without a result, over all backend servers. */
    public val outstandingTasks: Int get() = tables.outstanding

    /** Started tasks without a result on each known backend server, as this instance counts them. */
    public fun backendCounts(): Map<BackendId, Int> = tables.backends.mapValues { it.value.outstanding }

    /** Takes in [inputs], runs all systems once and returns what is to be done, in order. */
    public fun tick(inputs: List<Input>): List<Effect> {
        val nowNs = elapsed().toNs()
        val effects = ArrayList<Effect>()
        pool.runTimers(nowNs)
        inputs.forEach { apply(it, nowNs) }
        deadlines.run(nowNs)
        answers.run(nowNs, effects)
        placement.run(nowNs, effects)
        answers.run(nowNs, effects)
        return effects
    }

    /** Time until the engine must be ticked again without input; null if there is nothing to wait for. */
    public fun nextWake(): Duration? {
        val nowNs = elapsed().toNs()
        val wakeNs = listOfNotNull(deadlines.nextDeadlineNs(), placement.nextWakeNs(nowNs)).minOrNull() ?: return null
        return (wakeNs - nowNs).coerceAtLeast(0).nanoseconds
    }

    private fun apply(input: Input, nowNs: Long) {
        when (input) {
            is Input.Submit -> admission.submit(input.job, nowNs)
            is Input.Cancel -> deadlines.cancel(input.submission)
            is Input.TaskDone -> replies.done(input, nowNs)
            is Input.TaskFailed -> replies.failed(input, nowNs)
            is Input.TaskNotStarted -> replies.notStarted(input, nowNs)
            is Input.TaskLost -> replies.lost(input, nowNs)
            is Input.BackendServing -> backends.seen(input.backend, nowNs)
            is Input.BackendLeaving -> backends.leaving(input.backend, nowNs)
            is Input.BackendRemoved -> backends.removed(input.backend, nowNs)
            is Input.RulesChanged -> rulesChanged(input.rules, nowNs)
            is Input.SharesChanged -> tables.shares = input.startsPerSecond
        }
    }

    private fun rulesChanged(rules: Rules, nowNs: Long) {
        val current = tables.rules
        if (current != null && rules.version <= current.version) return
        tables.rules = rules
        backends.rulesChanged(nowNs)
        placement.rulesChanged()
    }
}
