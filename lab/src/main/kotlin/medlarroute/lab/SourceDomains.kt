package medlarroute.lab

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.isSymbolicLink
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readSymbolicLink

/**
 * Tells which failure domain a loopback connection comes from, by the process that holds its other end.
 *
 * All processes of a run share one address, so that the source address says nothing; the kernel's table of TCP sockets
 * and the open files of the run's own processes do.
 *
 * @param processes file with one `pid failureDomain` pair a line; read anew for each connection, as processes restart.
 */
internal class SourceDomains(private val processes: Path, private val proc: Path = Path.of("/proc")) {
    /** Failure domain of the process whose local TCP port is [port]; null if none of the listed processes holds it. */
    fun domainOf(port: Int): String? {
        val inode = inodeOf(port) ?: return null
        return listed().firstOrNull { (pid, _) -> holds(pid, inode) }?.second
    }

    private fun listed(): List<Pair<String, String>> {
        if (!processes.exists()) return emptyList()
        return Files.readAllLines(processes).map { it.trim() }.filter { ' ' in it }
            .map { it.substringBefore(' ') to it.substringAfter(' ') }
    }

    private fun inodeOf(port: Int): String? =
        listOf("net/tcp6", "net/tcp").map { proc.resolve(it) }.filter { it.exists() }
            .firstNotNullOfOrNull { table ->
                Files.readAllLines(table).drop(1).firstNotNullOfOrNull { inodeIn(it, port) }
            }

    private fun inodeIn(line: String, port: Int): String? {
        val fields = line.trim().split(WHITESPACE)
        val localPort = fields[LOCAL_ADDRESS].substringAfter(':').toInt(HEX)
        return fields[INODE].takeIf { localPort == port && fields[STATE] == ESTABLISHED }
    }

    private fun holds(pid: String, inode: String): Boolean =
        try {
            proc.resolve("$pid/fd").listDirectoryEntries()
                .any { it.isSymbolicLink() && it.readSymbolicLink().toString() == "socket:[$inode]" }
        } catch (_: IOException) {
            // The process ended, or closed a file, while its files were listed.
            false
        }

    private companion object {
        const val LOCAL_ADDRESS = 1
        const val STATE = 3
        const val INODE = 9
        const val HEX = 16
        const val ESTABLISHED = "01"
        val WHITESPACE = Regex("\\s+")
    }
}
