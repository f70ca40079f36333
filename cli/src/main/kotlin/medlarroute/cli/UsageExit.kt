package medlarroute.cli

import kotlinx.cli.ArgParser

/**
 * Replaces the way in which kotlinx-cli ends the process on `--help` and on wrong arguments.
 *
 * kotlinx-cli 0.3.6 exits with 127 on wrong arguments and offers no public hook for another code; its hook is an
 * internal property, which is reached by its name on the JVM.
 */
internal class UsageExit(parser: ArgParser) {
    /** What kotlinx-cli would have printed before it ended the process. */
    class Ended(val text: String, val isHelp: Boolean) : RuntimeException(text)

    init {
        replaceIn(parser)
    }

    /** Applies to [parser] too. */
    fun replaceIn(parser: ArgParser) {
        val hook = { text: String, code: Int -> throw Ended(text, code == 0) }
        ArgParser::class.java.methods.single { it.name.startsWith("setOutputAndTerminate") }.invoke(parser, hook)
    }
}
