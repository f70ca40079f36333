package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration
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
    private val replies = ReplySystem(settings, tables)
    private val backends = BackendSystem(tables)
    private val deadlines = DeadlineSystem(tables)
    private val admission = AdmissionSystem(settings, tables)
    private val placement = PlacementSystem(settings, tables, random)
    private val answers = AnswerSystem(tables)

    /** Time since the engine was created; the time base of [Effect.Start.decidedAt]. */
    public fun elapsed(): Duration = origin.elapsedNow()

    /** Number of jobs that have no answer yet. */
    public val openJobs: Int get() = tables.jobs.size

    /** Takes in [inputs], runs all systems once and returns what is to be done, in order. */
    public fun tick(inputs: List<Input>): List<Effect> {
        val now = elapsed()
        val effects = ArrayList<Effect>()
        inputs.forEach { apply(it, now) }
        deadlines.run(now)
        admission.run(now)
        placement.run(now, effects)
        answers.run(effects)
        return effects
    }

    /** Time until the engine must be ticked again without input; null if there is nothing to wait for. */
    public fun nextWake(): Duration? = deadlines.nextDeadline()?.let { (it - elapsed()).coerceAtLeast(Duration.ZERO) }

    private fun apply(input: Input, now: Duration) {
        when (input) {
            is Input.Submit -> admission.submit(input.job, now)
            is Input.Cancel -> deadlines.cancel(input.submission)
            is Input.TaskDone -> replies.done(input)
            is Input.TaskFailed -> replies.failed(input)
            is Input.TaskNotStarted -> replies.notStarted(input)
            is Input.TaskLost -> replies.lost(input)
            is Input.BackendSeen -> backends.seen(input.backend)
            is Input.BackendLeaving -> backends.leaving(input.backend)
            is Input.BackendRemoved -> backends.removed(input.backend)
            is Input.RulesChanged -> rulesChanged(input.rules)
            is Input.SharesChanged -> tables.shares = input.startsPerSecond
        }
    }

    private fun rulesChanged(rules: Rules) {
        val current = tables.rules
        if (current == null || rules.version > current.version) tables.rules = rules
    }
}
