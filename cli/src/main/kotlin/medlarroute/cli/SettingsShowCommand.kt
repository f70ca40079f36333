package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import medlarroute.core.Settings
import medlarroute.core.SettingsReader
import medlarroute.core.SettingsReference

/** Prints all settings, each with a comment that explains it. */
internal class SettingsShowCommand(cli: Cli) : ExecutableCommand("show", "Prints all settings with comments", cli) {
    private val file by argument(ArgType.String, description = "settings file").optional()
    private val defaults by option(ArgType.Boolean, "defaults", description = "print the defaults").default(false)

    override fun run(): Int {
        val name = file
        if ((name == null) != defaults) {
            throw CliFailure(ExitCode.BAD_INPUT, "pass either a settings file or --defaults")
        }
        val settings = if (name == null) Settings() else SettingsReader.read(readText(name), name).orFail()
        cli.print(SettingsReference.print(settings))
        return ExitCode.SUCCESS
    }
}
