package medlarroute.cli

import kotlinx.cli.ArgParser

/**
 * Makes kotlinx-cli throw [ParserExit] where it would end the process, on `--help` and on wrong arguments.
 *
 * kotlinx-cli 0.3.6 exits with 127 on wrong arguments and has no public hook to change the code. Its hook is an
 * internal property, whose setter is called by reflection.
 */
internal class ParserExitHook(parser: ArgParser) {
    /** Thrown instead of ending the process; [text] is what kotlinx-cli would have printed. */
    class ParserExit(val text: String, val isHelp: Boolean) : RuntimeException(text)

    init {
        install(parser)
    }

    /** Installs the hook in [parser], which may be a subcommand. */
    fun install(parser: ArgParser) {
        val hook = { text: String, code: Int -> throw ParserExit(text, code == 0) }
        ArgParser::class.java.methods.single { it.name.startsWith("setOutputAndTerminate") }.invoke(parser, hook)
    }
}
