package medlarroute.cli

import medlarroute.lab.LocalCluster

/** Runs an example job on a complete local cluster in this process. */
internal class TryCommand(cli: Cli) : ExecutableCommand("try", "Runs an example job on a system in this process", cli) {
    override fun run(): Int {
        LocalCluster().use { cli.print(it.runExample()) }
        return ExitCode.SUCCESS
    }
}
