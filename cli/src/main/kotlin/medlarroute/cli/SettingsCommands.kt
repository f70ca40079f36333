package medlarroute.cli

/** Commands about the settings file. */
internal class SettingsCommands(cli: Cli) :
    CommandGroup(
        "settings",
        "Checks and shows settings",
        listOf(SettingsCheckCommand(cli), SettingsShowCommand(cli)),
    )
