package medlarroute.cli

/** Commands that report about running instances. */
internal class ReportCommands(cli: Cli) :
    CommandGroup("report", "Reports about running instances", listOf(ReportBurnCommand(cli)))
