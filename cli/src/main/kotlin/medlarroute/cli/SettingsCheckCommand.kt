package medlarroute.cli

import kotlinx.cli.ArgType
import medlarroute.core.SettingsReader

/** Reports all errors in a settings file. */
internal class SettingsCheckCommand(cli: Cli) : ExecutableCommand("check", "Checks a settings file", cli) {
    private val file by argument(ArgType.String, description = "settings file")

    override fun run(): Int {
        SettingsReader.read(readText(file), file).orFail()
        cli.printLine("$file: no findings")
        return ExitCode.SUCCESS
    }
}
