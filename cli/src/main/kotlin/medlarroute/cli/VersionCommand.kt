package medlarroute.cli

/** Prints the version of the binary. */
internal class VersionCommand(cli: Cli) : Command("version", "Prints the version", cli) {
    override fun run(): Int {
        val version = Cli::class.java.`package`.implementationVersion ?: "unpackaged"
        cli.printLine("medlarroute $version, Java ${System.getProperty("java.version")}")
        return ExitCode.SUCCESS
    }
}
