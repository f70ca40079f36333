import java.util.Arrays;

/** Runs the case that the first argument names, in the folder that the second one names. */
final class Run {
    public static void main(String[] arguments) {
        try {
            Class.forName(arguments[0]).getDeclaredMethod("main", String[].class)
                .invoke(null, (Object) Arrays.copyOfRange(arguments, 1, arguments.length));
        } catch (ReflectiveOperationException | RuntimeException e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
