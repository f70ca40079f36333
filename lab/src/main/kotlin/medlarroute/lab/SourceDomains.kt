package medlarroute.lab

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readSymbolicLink
import kotlin.time.TimeSource

/**
 * Tells which failure domain a loopback connection comes from, by the process that holds its other end.
 *
 * All processes of a run share one address, so that the source address says nothing; the kernel's table of TCP sockets
 * and the open files of the run's own processes do.
 *
 * @param processes file with one `pid failureDomain` pair a line; read anew for each connection, as processes restart.
 */
internal class SourceDomains(private val processes: Path, private val proc: Path = Path.of("/proc")) {
    private var domains: Map<Int, String> = emptyMap()
    private var scannedAt: TimeSource.Monotonic.ValueTimeMark? = null

    /**
     * Failure domain of the process whose local TCP port is [port]; null if none of the listed processes holds it.
     *
     * One scan serves all connections that were accepted before it, so that a burst of connections is not held up.
     */
    @Synchronized
    fun domainOf(port: Int, acceptedAt: TimeSource.Monotonic.ValueTimeMark): String? {
        val scanned = scannedAt
        if (scanned == null || scanned < acceptedAt) scan()
        return domains[port]
    }

    private fun scan() {
        scannedAt = TimeSource.Monotonic.markNow()
        val ports = portsByInode()
        domains =
            listed().flatMap { (pid, domain) -> inodesOf(pid).mapNotNull { ports[it] }.map { it to domain } }.toMap()
    }

    private fun listed(): List<Pair<String, String>> {
        if (!processes.exists()) return emptyList()
        return Files.readAllLines(processes).map { it.trim() }.filter { ' ' in it }
            .map { it.substringBefore(' ') to it.substringAfter(' ') }
    }

    private fun portsByInode(): Map<String, Int> =
        listOf("net/tcp", "net/tcp6").map { proc.resolve(it) }.filter { it.exists() }
            .flatMap { table -> Files.readAllLines(table).drop(1) }
            .map { it.trim().split(WHITESPACE) }
            .filter { it[STATE] == ESTABLISHED }
            .associate { it[INODE] to it[LOCAL_ADDRESS].substringAfter(':').toInt(HEX) }

    private fun inodesOf(pid: String): List<String> =
        try {
            proc.resolve("$pid/fd").listDirectoryEntries().mapNotNull { inodeOf(it) }
        } catch (_: IOException) {
            // The process has ended.
            emptyList()
        }

    private fun inodeOf(file: Path): String? =
        try {
            val target = file.readSymbolicLink().toString()
            if (target.startsWith(SOCKET)) target.removePrefix(SOCKET).removeSuffix("]") else null
        } catch (_: IOException) {
            // The process closed the file while its files were listed.
            null
        }

    private companion object {
        const val SOCKET = "socket:["
        const val LOCAL_ADDRESS = 1
        const val STATE = 3
        const val INODE = 9
        const val HEX = 16
        const val ESTABLISHED = "01"
        val WHITESPACE = Regex("\\s+")
    }
}
