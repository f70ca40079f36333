package medlarroute.cli

/** Prints the versions of the binary and of Java. */
internal class VersionCommand(cli: Cli) : ExecutableCommand("version", "Prints the version", cli) {
    override fun run(): Int {
        val version = Cli::class.java.`package`.implementationVersion ?: "unpackaged"
        cli.printLine("medlarroute $version, Java ${System.getProperty("java.version")}")
        return ExitCode.SUCCESS
    }
}
