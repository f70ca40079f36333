package medlarroute.cli

import medlarroute.core.BurnReport
import medlarroute.core.ObjectiveBurn
import medlarroute.core.ObjectiveSettings
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Renders a [BurnReport] as plain text. */
internal object BurnText {
    /** Returns one block for each objective, followed by the instances and the unreachable URLs. */
    fun render(report: BurnReport): String =
        buildString {
            report.objectives.forEach { append(renderObjective(it)) }
            if (report.objectives.isEmpty()) appendLine("no objectives are set (section report.objectives)")
            report.instances.forEach {
                appendLine("instance ${it.instance}, ${describeIncarnation(it.incarnation, it.uptimeMs)}")
            }
            report.unreachable.forEach { appendLine("missing: ${it.url} (${it.reason})") }
        }

    /** Returns a human-readable name of an objective. */
    fun title(objective: ObjectiveSettings): String {
        val caller = objective.caller.ifEmpty { "any" }
        val kind = objective.kind.ifEmpty { "any" }
        val percent = "%.5f".format(Locale.ROOT, objective.share * PERCENT).trimEnd('0').trimEnd('.')
        return "caller $caller, kind $kind: $percent% within ${objective.latencyMs} ms"
    }

    /** Returns the incarnation of an instance and how long that process has been running. */
    fun describeIncarnation(incarnation: String, uptimeMs: Long): String =
        "incarnation $incarnation, up ${uptimeMs.milliseconds.inWholeSeconds.seconds}"

    private fun renderObjective(burn: ObjectiveBurn): String =
        buildString {
            appendLine("${title(burn.objective)}: ${burn.state}")
            for (window in burn.windows) {
                val rate = "%8.2f".format(Locale.ROOT, window.burnRate)
                val length = window.window.length.toString().padStart(LENGTH_WIDTH)
                appendLine("  $length  burn rate $rate  ${window.bad} of ${window.total} jobs not complete in time")
            }
        }

    private const val PERCENT = 100
    private const val LENGTH_WIDTH = 4
}
